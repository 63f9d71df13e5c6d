package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"syscall"

	"github.com/carobkeel/carobkeel/platform/standin"
)

// process is one of the project's processes, across its restarts. One goroutine uses it at a
// time.
type process struct {
	name, role, binary, settings, logs string
	command                            *exec.Cmd
	// kills counts how often the platform has killed the process for its memory.
	kills int
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	output, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(p.binary, p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.SettingsVariable + "=" + p.settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	return nil
}

// kill ends the process at once.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
}

// residentMB returns the memory that the process uses, zero if it does not run.
func (p *process) residentMB() int {
	if p.command == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		kilobytes := 0
		if _, err := fmt.Sscanf(string(line), "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}
