package holder

import "github.com/carobkeel/carobkeel/worker/runs"

// hostProcess is a process of a host's sidecar. Its number is above those of all processes of
// that host that were linked to this node before it.
type hostProcess struct {
	incarnation, number uint64
}

// processNumber returns the number for the fence of calls, zero if there are no more numbers: the
// host is not used then.
func (p hostProcess) processNumber() runs.ProcessNumber {
	if p.number > uint64(runs.MaxProcessNumber) {
		return 0
	}
	return runs.ProcessNumber(p.number)
}

// recordProcess records a process as the one that its host's sidecar was linked by last. It also
// reports whether another one was linked before. A process that links again keeps its number,
// unless another one was linked meanwhile.
//
// Numbers of one node are in order under each epoch that it holds, and no other node holds these.
func (n *Node) recordProcess(host string, incarnation uint64) (process hostProcess, followsOther bool) {
	for {
		first := hostProcess{incarnation: incarnation, number: 1}
		recorded, known := n.lastProcesses.LoadOrStore(host, first)
		if !known {
			return first, false
		}
		last := recorded.(hostProcess)
		if last.incarnation == incarnation {
			return last, false
		}
		next := hostProcess{incarnation: incarnation, number: last.number + 1}
		if n.lastProcesses.CompareAndSwap(host, last, next) {
			return next, true
		}
	}
}
