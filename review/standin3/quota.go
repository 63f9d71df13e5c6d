package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// quotaWindow is the time for which a machine's share of a core is a quota.
	quotaWindow = 100 * time.Millisecond
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
)

// processorTime returns the processor time that a process has used.
func processorTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// pid returns the id of the running process, zero for none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil || p.cmd.ProcessState != nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// limitShare gives a process its share of a core in each window, and nothing beyond it.
func (p *process) limitShare(share float64) {
	for !p.ended() {
		begun, pid := time.Now(), p.pid()
		used := processorTime(pid)
		stopped := false
		for left := quotaWindow; left > 0; left = quotaWindow - time.Since(begun) {
			time.Sleep(min(left, 5*time.Millisecond))
			if !stopped && pid != 0 && processorTime(pid)-used >= time.Duration(share*float64(quotaWindow)) {
				p.signalPID(pid, syscall.SIGSTOP)
				stopped = true
			}
		}
		if stopped {
			p.signalPID(pid, syscall.SIGCONT)
		}
	}
}

// signalPID signals the process if it is still the one with the given id.
func (p *process) signalPID(pid int, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil && p.cmd.Process.Pid == pid {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stop
}

// residentBytes returns the memory that a process has in use.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// limitMemory ends a process whose memory exceeds its machine's, as the platform does.
func (f *fleet) limitMemory(p *process, limit int64) {
	for !p.ended() {
		time.Sleep(50 * time.Millisecond)
		pid := p.pid()
		if pid == 0 {
			continue
		}
		if size := residentBytes(pid); size > limit {
			p.signalPID(pid, syscall.SIGKILL)
			f.world.mu.Lock()
			f.world.kills[p.name]++
			f.world.note("%s has %d MB of %d in use and is killed", p.name, size>>20, limit>>20)
			f.world.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	}
}
