package main

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTimeout is how long a process may take to print its ready line, and
	// the entries together to answer a first request.
	readyTimeout = 20 * time.Second
	// stopTimeout is how long a process may take to shut down gracefully before
	// it is killed.
	stopTimeout = 45 * time.Second
)

// process is one running incarnation of the binary.
type process struct {
	command *exec.Cmd
	// ready holds the addresses from the ready line of the process, by name.
	ready  map[string]string
	exited chan struct{}
}

// startProcess starts the binary and waits for its line "ready NAME=ADDRESS …".
// The standard error of the process is written to logs.
func startProcess(ctx context.Context, binary string, logs io.Writer, args ...string) (*process, error) {
	command := exec.Command(binary, args...)
	command.Stderr = logs
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "start a process")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start a process")
	}
	p := &process{command: command, exited: make(chan struct{})}
	lines := make(chan string, 1)
	go p.read(out, lines)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case line, ok := <-lines:
		if !ok {
			return nil, errors.Errorf("%s ended before it was ready", args[0])
		}
		p.ready = parseReady(line)
		return p, nil
	case <-ctx.Done():
		p.kill()
		return nil, errors.Errorf("%s was not ready in time", args[0])
	}
}

// read sends the ready line to lines, discards all later output and waits for
// the process to exit.
func (p *process) read(out io.Reader, lines chan<- string) {
	defer close(p.exited)
	defer close(lines)
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "ready ") {
			lines <- scanner.Text()
			break
		}
	}
	_, _ = io.Copy(io.Discard, out)
	_ = p.command.Wait()
}

// parseReady parses "ready name=address name=address …" into addresses by name.
func parseReady(line string) map[string]string {
	ready := make(map[string]string)
	for _, field := range strings.Fields(line)[1:] {
		name, address, _ := strings.Cut(field, "=")
		ready[name] = address
	}
	return ready
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// stop shuts the process down with SIGTERM. After stopTimeout it kills the
// process and returns an error.
func (p *process) stop() error {
	_ = p.command.Process.Signal(os.Signal(syscall.SIGTERM))
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return nil
	case <-timer.C:
		p.kill()
		return errors.New("a process did not shut down in time")
	}
}

// pause suspends the process with SIGSTOP for the duration, or until ctx ends.
func (p *process) pause(ctx context.Context, duration time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// sleep blocks on a timer until the duration has passed or ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
