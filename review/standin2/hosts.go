package main

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/platform/standin"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// darkTime is how long entries that come back are without power.
	darkTime = 9500 * time.Millisecond
	// calmBound is how long nothing is disturbed before the time in which a task that lasts has to
	// run.
	calmBound = 4 * time.Second
)

var holderRow = table.RowID{Table: "holders", Part: "shard-0", Key: "holder"}

// holder returns the entry that wrote its name last into the row of the holder.
func (f *fleet) holder() (*process, error) {
	value := f.rows.Row(holderRow)
	for _, p := range f.processes[:entryCount] {
		if bytes.Contains(value, []byte(p.name)) {
			return p, nil
		}
	}
	return nil, errors.New("no entry holds the shard")
}

// playLostHosts takes the host of a worker and that of the holder away for good, while all other
// entries lose power for a while. Tasks that last have to run again in time.
func playLostHosts(ctx context.Context, f *fleet, trouble bool) (string, error) {
	lasting := newJob(lastingTasks, lastingMilliCPU, time.Second)
	lasting.Payload, lasting.Steps[0].LongRunning = standin.EndlessSpec, true
	if f.submit(ctx, 0, lasting).Answer != judge.AnswerAccepted {
		return "", errors.New("the lasting job is not accepted")
	}
	for len(f.record.of(lasting.ID)) < lastingTasks {
		if !sleep(ctx, poll) {
			return "", errors.New("the lasting tasks do not run")
		}
	}
	if !sleep(ctx, 3*time.Second) {
		return "", errCancelled
	}
	if trouble {
		if err := f.loseHosts(ctx); err != nil {
			return "", err
		}
	} else if !sleep(ctx, darkTime) {
		return "", errCancelled
	}
	calm := f.record.now()
	if !sleep(ctx, calmBound+idleBound+8*time.Second) {
		return "", errCancelled
	}
	return f.judgeLasting(lasting.ID, calm+calmBound), nil
}

// darken lets connections to an address of a host without power hang: they get no answer and no
// reset.
func (f *fleet) darken(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.listeners = append(f.listeners, listener)
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	return nil
}

// loseHosts ends all entries and the host of the first worker, and starts all entries but the
// holder again once they have power.
func (f *fleet) loseHosts(ctx context.Context) error {
	holder, err := f.holder()
	if err != nil {
		return err
	}
	w, sidecar := f.workers[0], f.processes[entryCount]
	f.record.note("case", "all entries lose power, %s for good; the host of %s is gone for good", holder.name, w.name)
	for _, p := range f.processes[:entryCount] {
		p.kill()
	}
	sidecar.kill()
	w.crash()
	if err := f.darken(f.address(firstEntry+slices.Index(f.processes, holder), linkPort)); err != nil {
		return err
	}
	if !sleep(ctx, darkTime) {
		return errCancelled
	}
	for _, p := range f.processes[:entryCount] {
		if p == holder {
			continue
		}
		if err := p.start(); err != nil {
			return err
		}
		f.record.note("case", "%s has power again", p.name)
	}
	return nil
}
