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
	// processTimeout is how long a real process may take for anything.
	processTimeout = 60 * time.Second
	anyPort        = "127.0.0.1:0"
	devCatalogue   = "../../operator/catalogfile/dev.yaml"
	// echoGrace is how long the instance that is stopped goes on serving.
	echoGrace = "30s"
	// requestsEach is how many requests a step sends through each entry.
	requestsEach = 40
)

// osProcess is one process of the binary.
type osProcess struct {
	command *exec.Cmd
	// ready holds the addresses of the ready line, by name.
	ready map[string]string
	ended chan struct{}
}

// startOSProcess starts the binary and waits for its ready line. The process is
// ended with the test, and its exit code is checked.
func startOSProcess(t *testing.T, binary string, args ...string) *osProcess {
	t.Helper()
	g := NewWithT(t)
	var logs bytes.Buffer
	p := &osProcess{command: exec.Command(binary, args...), ready: make(map[string]string), ended: make(chan struct{})}
	p.command.Stderr = &logs
	out, err := p.command.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.command.Start()).To(Succeed())
	lines := make(chan string, 1)
	go func() {
		defer close(p.ended)
		line, _ := bufio.NewReader(out).ReadString('\n')
		lines <- line
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		p.end(t)
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

// terminate asks the process to shut down.
func (p *osProcess) terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// end shuts the process down and waits for it. One that does not end is killed.
func (p *osProcess) end(t *testing.T) {
	p.terminate()
	if !NewWithT(t).Eventually(p.ended, processTimeout).Should(BeClosed()) {
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// echoProcess is an instance of the sample service with its sidecar.
type echoProcess struct {
	*osProcess
	sidecar *osProcess
	// direct counts the requests that went to the instance past the entries.
	direct int
}

// work returns how many requests the instance has got from its sidecar.
func (e *echoProcess) work(g *WithT) int {
	e.direct++
	response, err := http.Get("http://" + e.ready["echo"] + "/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	runs, err := strconv.Atoi(response.Header.Get("Upstream-Runs"))
	g.Expect(err).NotTo(HaveOccurred())
	return runs - e.direct
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

// startOSFleet builds the binary and starts the stand-in of the table and two
// entries.
func startOSFleet(t *testing.T) *osFleet {
	f := &osFleet{t: t, g: NewWithT(t), binary: filepath.Join(t.TempDir(), "carobkeel")}
	f.g.Expect(exec.Command("go", "build", "-o", f.binary, ".").Run()).To(Succeed())
	table := startOSProcess(t, f.binary, "standin-table", "-listen", anyPort).ready["table"]
	f.addEntry(table)
	f.addEntry(table, "-peers", f.entries[0].ready["link"])
	return f
}

func (f *osFleet) addEntry(table string, more ...string) {
	args := append(strings.Fields("entry -data-centre dar-1 -table "+table), more...)
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

// run runs a command of the binary to its end.
func (f *osFleet) run(args ...string) (text string, code int) {
	command := exec.Command(f.binary, args...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// apply applies a catalogue through an entry and waits until all have it.
func (f *osFleet) apply(file string, revision int) {
	text, code := f.run("catalogue", "apply", "-by", "asha", "-operator", f.entries[0].ready["operator"], file)
	f.g.Expect(code).To(Equal(exitOK), text)
	f.eventually(HaveField("Revision", BeNumerically(">=", revision)))
}

// eventually waits until the status of each entry matches.
func (f *osFleet) eventually(matches OmegaMatcher) {
	f.t.Helper()
	for _, e := range f.entries {
		asked := client.New(client.Config{Addresses: []string{e.ready["operator"]}})
		f.g.Eventually(asked.Status, processTimeout).WithContext(context.Background()).Should(matches)
	}
}

// serving matches a status that counts so many instances as serving.
func serving(count int) OmegaMatcher {
	return HaveField("Services", ConsistOf(HaveField("Serving", count)))
}

// send sends a request through the entry and checks that the answer is its own.
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

// sendAll sends requests through both entries in turn.
func (f *osFleet) sendAll() {
	for i := range requestsEach * len(f.entries) {
		f.g.Expect(f.send(i%len(f.entries), "")).To(Succeed())
	}
}

// works returns the work of each instance.
func (f *osFleet) works() []int {
	var all []int
	for _, e := range f.echoes {
		all = append(all, e.work(f.g))
	}
	return all
}

// sendSlow begins a request that takes the delay, and returns once an instance
// has it: which one, and a channel that gets its result.
func (f *osFleet) sendSlow(entry int, delay string) (at *echoProcess, result chan error) {
	before := f.works()
	result = make(chan error, 1)
	go func() { result <- f.send(entry, "?delay="+delay) }()
	f.g.Eventually(func() *echoProcess {
		for i, work := range f.works() {
			if work > before[i] {
				at = f.echoes[i]
			}
		}
		return at
	}, processTimeout).ShouldNot(BeNil())
	return at, result
}

func TestProcesses(t *testing.T) {
	f := startOSFleet(t)
	f.refusesWrongSettings()
	f.apply(devCatalogue, 1)
	f.spreadsWork()
	f.takesALateUpstream()
	f.sparesADrainingUpstream()
	f.raiseTimeout()
	f.finishesBeforeTheSidecarEnds()
	f.finishesBeforeTheEntryEnds()
}

func (f *osFleet) refusesWrongSettings() {
	text, code := f.run("entry", "-listen", "nowhere", "-drain-timeout", "soon", "-leave-time", "-1s", "-peers", "a:1,127.0.0.1:2")
	f.g.Expect(code).To(Equal(exitUsage))
	for _, name := range []string{"listen", "drain-timeout", "leave-time", "peers", "table", "data-centre"} {
		f.g.Expect(text).To(ContainSubstring("\n  -" + name + ": "))
	}
}

func (f *osFleet) spreadsWork() {
	f.addEcho(echoGrace)
	f.addEcho("0s")
	f.addEcho("0s")
	f.eventually(serving(3))
	f.sendAll()
	f.g.Expect(f.works()).To(HaveEach(BeNumerically(">", 0)))
}

func (f *osFleet) takesALateUpstream() {
	f.addEcho("0s")
	f.eventually(serving(4))
	f.sendAll()
	f.g.Expect(f.echoes[3].work(f.g)).To(BeNumerically(">", 0))
}

func (f *osFleet) sparesADrainingUpstream() {
	f.echoes[0].terminate()
	f.eventually(serving(3))
	before := f.echoes[0].work(f.g)
	f.sendAll()
	f.g.Expect(f.echoes[0].work(f.g)).To(Equal(before))
	f.echoes = f.echoes[1:]
}

// raiseTimeout edits the catalogue, so that slow requests are not cut short.
func (f *osFleet) raiseTimeout() {
	data, err := os.ReadFile(devCatalogue)
	f.g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(f.t.TempDir(), "patient.yaml")
	patient := strings.Replace(string(data), "timeout: 2s", "timeout: 60s", 1)
	f.g.Expect(os.WriteFile(file, []byte(patient), 0o600)).To(Succeed())
	f.apply(file, 2)
}

func (f *osFleet) finishesBeforeTheSidecarEnds() {
	at, result := f.sendSlow(0, "3s")
	at.sidecar.terminate()
	f.g.Eventually(result, processTimeout).Should(Receive(BeNil()))
	f.g.Eventually(at.sidecar.ended, processTimeout).Should(BeClosed())
	f.eventually(serving(2))
	f.sendAll()
}

func (f *osFleet) finishesBeforeTheEntryEnds() {
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
	f.g.Eventually(f.entries[1].ended, processTimeout).Should(BeClosed())
}
