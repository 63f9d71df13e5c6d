package server

import (
	"context"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry"
)

// heldSlot is a slot that is held by a request.
type heldSlot struct {
	slotQueue *slotQueue
	share     *entry.Share
	// waited is how long the request waited for the slot.
	waited time.Duration
	// service is how long the upstream took to begin a successful answer, zero
	// if there is none.
	service time.Duration
}

// acquireSlot takes a slot for the request, waiting for one if necessary.
func (s *Server) acquireSlot(ctx context.Context, r *caller.Request) (*heldSlot, *carobkeel.Error) {
	if s.draining.Load() {
		return nil, carobkeel.NewError(carobkeel.CodeDraining, "the upstream is shutting down")
	}
	share := s.slotQueue.slots.Share(r.OwnerClass(), r.Share)
	waited, refusal := s.slotQueue.acquire(ctx, entry.QueuedRequest{Share: share, Deadline: r.Deadline})
	if refusal != nil {
		return nil, refusal
	}
	slot := &heldSlot{slotQueue: s.slotQueue, share: share, waited: waited}
	if ctx.Err() != nil {
		slot.release()
		return nil, carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the time ran out before a slot was free")
	}
	return slot, nil
}

// do sends the request to the upstream. The duration of a failed request, or of
// one answered with a 5xx status, is not recorded, as it is no measure of
// congestion.
func (h *heldSlot) do(ctx context.Context, up Upstream, r *caller.Request) (*caller.Answer, error) {
	started := time.Now()
	answer, err := up.Do(ctx, r)
	if err == nil && answer.Status < http.StatusInternalServerError {
		h.service = time.Since(started)
	}
	return answer, err
}

// release releases the slot.
func (h *heldSlot) release() { h.slotQueue.release(h.share, h.service) }

// guaranteedShareUnit is the value of Open.Floor that stands for all slots.
const guaranteedShareUnit = 1000

// classOf returns the class of a request. An unknown class is treated as the
// least urgent one.
func classOf(class uint8) carobkeel.Class {
	if class >= carobkeel.ClassCount {
		return carobkeel.ClassBatch
	}
	return carobkeel.Class(class)
}
