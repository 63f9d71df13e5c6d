package jobs

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/platform/standin"
)

// role is a command of the binary.
type role string

const (
	entryRole   role = "entry"
	sidecarRole role = "sidecar"
)

// process is a process of the system on its host, across its restarts.
type process struct {
	name     string
	role     role
	binary   string
	settings string
	// linkListen is where the process accepts links that a relay forwards.
	linkListen string
	log        *os.File
	// spent is the processor time of the processes that have ended.
	spent atomic.Int64

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed while the process does not run.
	exited chan struct{}
}

// linkListenVariable names the environment variable for the address at which a process
// accepts links.
const linkListenVariable = "CAROBKEEL_LINK_LISTEN"

// policyVariables switch on the scheduling decisions under hard load, so that a play has faults in
// the middle of them.
var policyVariables = []string{
	"CAROBKEEL_FLEET_RECOVERY=true", "CAROBKEEL_OVERLOAD_CONTROL=true", "CAROBKEEL_ADMISSION=true", "CAROBKEEL_LOCALITY_WAIT=true",
}

// newProcess writes the settings of a host and starts the process there, which accepts links
// at another address than it tells.
func newProcess(binary, folder string, role role, host standin.Host, linkListen string) (*process, error) {
	data, err := host.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "settings of "+host.Name)
	}
	p := &process{
		name: host.Name, role: role, binary: binary, settings: filepath.Join(folder, host.Name+".json"), linkListen: linkListen,
		exited: make(chan struct{}),
	}
	close(p.exited)
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	if p.log, err = os.Create(filepath.Join(folder, host.Name+logSuffix)); err != nil {
		return nil, errors.WithStack(err)
	}
	return p, p.start()
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	command := exec.Command(p.binary, string(p.role))
	command.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		standin.SettingsVariable + "=" + p.settings, linkListenVariable + "=" + p.linkListen,
	}, policyVariables...)
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start "+p.name)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait() // the exit status is in the log
		p.spent.Add(int64(command.ProcessState.UserTime() + command.ProcessState.SystemTime()))
		close(exited)
	}()
	return nil
}

// runs reports whether the process runs. The caller holds the lock.
func (p *process) runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal, and returns a channel that is closed once the process is gone.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		_ = p.command.Process.Signal(s) // fails only if the process has just gone
	}
	return p.exited
}

// kill ends the process at once.
func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

// terminate asks the process to end, and kills it after a time.
func (p *process) terminate(grace time.Duration) {
	gone := p.signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-gone:
	case <-timer.C:
		p.kill()
	}
}
