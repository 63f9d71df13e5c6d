package jobs

import (
	"sync"
	"syscall"
	"time"
)

// terminationGrace is how long a process may take to end.
const terminationGrace = 6 * time.Second

func freeze(processes ...*process) action {
	signalAll := func(s syscall.Signal) func() {
		return func() {
			for _, p := range processes {
				p.signal(s)
			}
		}
	}
	return action{processes: processes, begin: signalAll(syscall.SIGSTOP), end: signalAll(syscall.SIGCONT)}
}

func kill(p *process) action {
	return action{processes: []*process{p}, begin: p.kill, end: func() { _ = p.start() }}
}

func terminate(p *process) action {
	return action{
		processes: []*process{p}, begin: func() { p.terminate(terminationGrace) }, end: func() { _ = p.start() },
	}
}

// all does the same to several processes at the same time.
func all(processes []*process, do func(*process) action) action {
	var actions []action
	for _, p := range processes {
		actions = append(actions, do(p))
	}
	return action{
		processes: processes,
		begin:     func() { together(actions, func(a action) { a.begin() }) },
		end:       func() { together(actions, func(a action) { a.end() }) },
	}
}

func together(actions []action, do func(action)) {
	var running sync.WaitGroup
	for _, a := range actions {
		running.Go(func() { do(a) })
	}
	running.Wait()
}
