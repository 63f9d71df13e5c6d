package server

import (
	"context"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry"
)

// hold is a slot that a request has.
type hold struct {
	gate  *gate
	share *entry.Share
	// waited is how long the request waited for the slot.
	waited time.Duration
	// service is how long the upstream took to begin a good answer, zero where
	// there is none.
	service time.Duration
}

// enter lets the request wait for a slot.
func (s *Server) enter(ctx context.Context, r *caller.Request) (*hold, *carobkeel.Error) {
	if s.draining.Load() {
		return nil, carobkeel.NewError(carobkeel.CodeDraining, "the upstream is shutting down")
	}
	share := s.gate.slots.Share(r.OwnerClass(), r.Share)
	waited, refusal := s.gate.enter(ctx, entry.Waiting{Share: share, Deadline: r.Deadline})
	if refusal != nil {
		return nil, refusal
	}
	held := &hold{gate: s.gate, share: share, waited: waited}
	if ctx.Err() != nil {
		held.release()
		return nil, carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the time ran out before a slot was free")
	}
	return held, nil
}

// do sends the request to the upstream. How long a failure took says nothing of
// how crowded the upstream is and is left out.
func (h *hold) do(ctx context.Context, up Upstream, r *caller.Request) (*caller.Answer, error) {
	started := time.Now()
	answer, err := up.Do(ctx, r)
	if err == nil && answer.Status < http.StatusInternalServerError {
		h.service = time.Since(started)
	}
	return answer, err
}

// release gives the slot back.
func (h *hold) release() { h.gate.leave(h.share, h.service) }

// floorUnit is a floor of one in an Open message.
const floorUnit = 1000

// classOf returns the class of a request. One that is not known counts as the
// least urgent.
func classOf(class uint8) carobkeel.Class {
	if class >= carobkeel.ClassCount {
		return carobkeel.ClassBatch
	}
	return carobkeel.Class(class)
}
