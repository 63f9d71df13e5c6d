package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/platform/standin"
)

// hangupPause is how long a process may take to act on a signal.
const hangupPause = 500 * time.Millisecond

// Guards against LOST: SIGHUP ended a process that was still reading its settings.
func TestHangupDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	binary, settings := filepath.Join(folder, "carobkeel"), filepath.Join(folder, "node.json")
	g.Expect(exec.Command("go", "build", "-o", binary, ".").Run()).To(Succeed())
	g.Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed()) // reading it waits for a writer
	command := exec.Command(binary, "entry")
	command.Env = append(command.Environ(), standin.SettingsVariable+"="+settings)
	g.Expect(command.Start()).To(Succeed())
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	time.Sleep(hangupPause)
	g.Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(exited, hangupPause).ShouldNot(Receive())
	g.Expect(command.Process.Kill()).To(Succeed())
	<-exited
}

// Guards against LOST: SIGHUP ended a process that was shutting down and still had requests.
func TestHangupDuringTheShutdownDoesNotEndTheProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h := &hostedProcess{hangups: notifyHangups(), log: logging.Discard().For("test"), path: filepath.Join(t.TempDir(), "node.json")}
	h.watchSettings(ctx, nil)
	NewWithT(t).Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
	time.Sleep(hangupPause)
}
