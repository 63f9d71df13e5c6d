package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/operator/client"
)

const (
	// processTimeout is the time limit of every wait for a process.
	processTimeout = 60 * time.Second
	anyPort        = "127.0.0.1:0"
	devCatalogue   = "../../operator/catalogfile/dev.yaml"
	// echoGrace is how long the stopped instance keeps serving while it drains.
	echoGrace = "30s"
	// requestsPerEntry is the number of requests that sendAll sends through each
	// entry.
	requestsPerEntry = 40
)

// osProcess is one process of the binary.
type osProcess struct {
	command *exec.Cmd
	// ready holds the addresses in the ready line by their names.
	ready  map[string]string
	exited chan struct{}
}

// startOSProcess starts the binary and waits for its ready line. At the end of
// the test it shuts the process down and checks its exit code.
func startOSProcess(t *testing.T, binary string, args ...string) *osProcess {
	t.Helper()
	g := NewWithT(t)
	var logs bytes.Buffer
	p := &osProcess{command: exec.Command(binary, args...), ready: make(map[string]string), exited: make(chan struct{})}
	p.command.Stderr = &logs
	out, err := p.command.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.command.Start()).To(Succeed())
	lines := make(chan string, 1)
	go func() {
		defer close(p.exited)
		line, _ := bufio.NewReader(out).ReadString('\n')
		lines <- line
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		p.shutDown(t)
		if code := p.command.ProcessState.ExitCode(); code != exitOK {
			t.Errorf("%s: exit code %d\n%s", args[0], code, logs.String())
		}
	})
	var line string
	g.Eventually(lines, processTimeout).Should(Receive(&line))
	g.Expect(line).To(HavePrefix("ready "), "%v", args)
	for _, field := range strings.Fields(line)[1:] {
		name, address, _ := strings.Cut(field, "=")
		p.ready[name] = address
	}
	return p
}

// terminate sends SIGTERM.
func (p *osProcess) terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// shutDown terminates the process and waits for its exit. A process that does not
// exit within processTimeout is killed, and the test fails.
func (p *osProcess) shutDown(t *testing.T) {
	p.terminate()
	if !NewWithT(t).Eventually(p.exited, processTimeout).Should(BeClosed()) {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// echoProcess is an instance of the sample service with its sidecar.
type echoProcess struct {
	*osProcess
	sidecar *osProcess
	// directRequests counts the requests that the test sent to the instance
	// itself, not through an entry.
	directRequests int
}

// requestCount returns the number of requests that the instance has received from
// its sidecar.
func (e *echoProcess) requestCount(g *WithT) int {
	e.directRequests++
	response, err := http.Get("http://" + e.ready["echo"] + "/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	runs, err := strconv.Atoi(response.Header.Get("Upstream-Runs"))
	g.Expect(err).NotTo(HaveOccurred())
	return runs - e.directRequests
}

// osFleet is the processes of the test.
type osFleet struct {
	t       *testing.T
	g       *WithT
	binary  string
	entries []*osProcess
	echoes  []*echoProcess
	sent    int
}

// startOSFleet builds the binary and starts the stand-in table service and two
// entries.
func startOSFleet(t *testing.T) *osFleet {
	f := &osFleet{t: t, g: NewWithT(t), binary: filepath.Join(t.TempDir(), "carobkeel")}
	f.g.Expect(exec.Command("go", "build", "-o", f.binary, ".").Run()).To(Succeed())
	table := startOSProcess(t, f.binary, "standin-table", "-listen", anyPort).ready["table"]
	f.addEntry(table)
	f.addEntry(table, "-peers", f.entries[0].ready["link"])
	return f
}

func (f *osFleet) addEntry(table string, extra ...string) {
	args := append(strings.Fields("entry -data-centre dar-1 -table "+table), extra...)
	args = append(args, "-listen", anyPort, "-operator-listen", anyPort, "-link-listen", anyPort)
	f.entries = append(f.entries, startOSProcess(f.t, f.binary, args...))
}

func (f *osFleet) addEcho(grace string) *echoProcess {
	e := &echoProcess{osProcess: startOSProcess(f.t, f.binary, "sample-echo", "-listen", anyPort, "-grace", grace)}
	e.sidecar = startOSProcess(f.t, f.binary, "sidecar", "-listen", anyPort, "-admin-listen", anyPort,
		"-upstream", e.ready["echo"], "-service", "echo", "-data-centre", "dar-1",
		"-entries", f.entries[0].ready["link"]+","+f.entries[1].ready["link"])
	f.echoes = append(f.echoes, e)
	return e
}

// run executes a command of the binary and returns its output and exit code.
func (f *osFleet) run(args ...string) (text string, code int) {
	command := exec.Command(f.binary, args...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// apply applies a catalogue through an entry and waits until all entries have
// the revision.
func (f *osFleet) apply(file string, revision int) {
	text, code := f.run("catalogue", "apply", "-by", "asha", "-operator", f.entries[0].ready["operator"], file)
	f.g.Expect(code).To(Equal(exitOK), text)
	f.eventually(HaveField("Revision", BeNumerically(">=", revision)))
}

// eventually waits until the status of each entry matches.
func (f *osFleet) eventually(matcher OmegaMatcher) {
	f.t.Helper()
	for _, e := range f.entries {
		operators := client.New(client.Config{Addresses: []string{e.ready["operator"]}})
		f.g.Eventually(operators.Status, processTimeout).WithContext(context.Background()).Should(matcher)
	}
}

// serving matches a status with the given number of serving instances.
func serving(count int) OmegaMatcher {
	return HaveField("Services", ConsistOf(HaveField("Serving", count)))
}

// send sends a request through the entry and checks that the answer belongs to
// it.
func (f *osFleet) send(entry int, query string) error {
	f.sent++
	body := fmt.Sprintf("body of request %d", f.sent)
	url := "http://" + f.entries[entry].ready["caller"] + "/services/echo/" + query
	response, err := http.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || string(answer) != body) {
		return fmt.Errorf("%s: status %d, answer %q", body, response.StatusCode, answer)
	}
	return err
}

// sendAll sends requests through the entries in turn.
func (f *osFleet) sendAll() {
	for i := range requestsPerEntry * len(f.entries) {
		f.g.Expect(f.send(i%len(f.entries), "")).To(Succeed())
	}
}

// requestCounts returns the request count of each instance.
func (f *osFleet) requestCounts() []int {
	var counts []int
	for _, e := range f.echoes {
		counts = append(counts, e.requestCount(f.g))
	}
	return counts
}

// sendSlow starts a request that the instance answers after the delay. Once an
// instance has received the request, it returns that instance and a channel for
// the result of send.
func (f *osFleet) sendSlow(entry int, delay string) (instance *echoProcess, result chan error) {
	before := f.requestCounts()
	result = make(chan error, 1)
	go func() { result <- f.send(entry, "?delay="+delay) }()
	f.g.Eventually(func() *echoProcess {
		for i, count := range f.requestCounts() {
			if count > before[i] {
				instance = f.echoes[i]
			}
		}
		return instance
	}, processTimeout).ShouldNot(BeNil())
	return instance, result
}

func TestProcesses(t *testing.T) {
	f := startOSFleet(t)
	f.checkInvalidSettings()
	f.apply(devCatalogue, 1)
	f.checkLoadBalancing()
	f.checkLateUpstream()
	f.checkDrainingUpstream()
	f.raiseTimeout()
	f.checkSidecarShutdown()
	f.checkEntryShutdown()
}

// checkInvalidSettings checks that an entry exits with a usage error that names
// every invalid setting.
func (f *osFleet) checkInvalidSettings() {
	text, code := f.run("entry", "-listen", "nowhere", "-drain-timeout", "soon", "-leave-time", "-1s", "-peers", "a:1,127.0.0.1:2")
	f.g.Expect(code).To(Equal(exitUsage))
	for _, name := range []string{"listen", "drain-timeout", "leave-time", "peers", "table", "data-centre"} {
		f.g.Expect(text).To(ContainSubstring("\n  -" + name + ": "))
	}
}

// checkLoadBalancing checks that every instance gets some of the requests.
func (f *osFleet) checkLoadBalancing() {
	f.addEcho(echoGrace)
	f.addEcho("0s")
	f.addEcho("0s")
	f.eventually(serving(3))
	f.sendAll()
	f.g.Expect(f.requestCounts()).To(HaveEach(BeNumerically(">", 0)))
}

// checkLateUpstream checks that an instance added later gets requests.
func (f *osFleet) checkLateUpstream() {
	f.addEcho("0s")
	f.eventually(serving(4))
	f.sendAll()
	f.g.Expect(f.echoes[3].requestCount(f.g)).To(BeNumerically(">", 0))
}

// checkDrainingUpstream checks that a draining instance gets no new requests.
func (f *osFleet) checkDrainingUpstream() {
	f.echoes[0].terminate()
	f.eventually(serving(3))
	before := f.echoes[0].requestCount(f.g)
	f.sendAll()
	f.g.Expect(f.echoes[0].requestCount(f.g)).To(Equal(before))
	f.echoes = f.echoes[1:]
}

// raiseTimeout raises the service's timeout in the catalogue, so that the slow
// requests of the shutdown checks do not time out.
func (f *osFleet) raiseTimeout() {
	data, err := os.ReadFile(devCatalogue)
	f.g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(f.t.TempDir(), "patient.yaml")
	edited := strings.Replace(string(data), "timeout: 2s", "timeout: 60s", 1)
	f.g.Expect(os.WriteFile(file, []byte(edited), 0o600)).To(Succeed())
	f.apply(file, 2)
}

// checkSidecarShutdown checks that a request in flight completes before its
// sidecar exits.
func (f *osFleet) checkSidecarShutdown() {
	instance, result := f.sendSlow(0, "3s")
	instance.sidecar.terminate()
	f.g.Eventually(result, processTimeout).Should(Receive(BeNil()))
	f.g.Eventually(instance.sidecar.exited, processTimeout).Should(BeClosed())
	f.eventually(serving(2))
	f.sendAll()
}

// checkEntryShutdown checks that an entry that shuts down reports not ready and
// completes a request in flight before it exits.
func (f *osFleet) checkEntryShutdown() {
	_, result := f.sendSlow(1, "5s")
	f.entries[1].terminate()
	f.g.Eventually(func() (int, error) {
		response, err := http.Get("http://" + f.entries[1].ready["operator"] + "/readyz")
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}, processTimeout).Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(result).NotTo(Receive(), "answered before the entry left the balancer")
	f.g.Eventually(result, processTimeout).Should(Receive(BeNil()))
	f.g.Eventually(f.entries[1].exited, processTimeout).Should(BeClosed())
}
