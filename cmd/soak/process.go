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
	// readyTimeout is how long a process may take until it says that it serves.
	readyTimeout = 20 * time.Second
	// stopTimeout is how long a process may take to shut down gracefully.
	stopTimeout = 45 * time.Second
)

// process is one started process of the binary.
type process struct {
	command *exec.Cmd
	// ready holds the addresses of the line that the process printed when it
	// served, by name.
	ready map[string]string
	ended chan struct{}
}

// startProcess starts the binary and waits for its line "ready NAME=ADDRESS …".
// Its log goes to logs.
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
	p := &process{command: command, ended: make(chan struct{})}
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

// read passes the ready line on, drains the rest and waits for the end.
func (p *process) read(out io.Reader, lines chan<- string) {
	defer close(p.ended)
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

// parseReady reads "ready name=address name=address".
func parseReady(line string) map[string]string {
	ready := make(map[string]string)
	for _, field := range strings.Fields(line)[1:] {
		name, address, _ := strings.Cut(field, "=")
		ready[name] = address
	}
	return ready
}

// kill ends the process without warning.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// stop shuts the process down gracefully, and kills it when it takes too long.
func (p *process) stop() error {
	_ = p.command.Process.Signal(os.Signal(syscall.SIGTERM))
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.ended:
		return nil
	case <-timer.C:
		p.kill()
		return errors.New("a process did not shut down in time")
	}
}

// pause stops the process for a while.
func (p *process) pause(ctx context.Context, length time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	park(ctx, length)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// park waits on a timer until the time is over or ctx ends.
func park(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
