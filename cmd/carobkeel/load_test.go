package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// runCommand runs a command in this process and returns its exit code and
// output.
func runCommand(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), args, streams{in: &bytes.Buffer{}, out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

func TestLoadWritesReportsAndPlots(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Carobkeel-Result", "0")
		_, _ = w.Write(body)
	}))
	defer server.Close()
	folder := t.TempDir()
	a, b, plot := filepath.Join(folder, "a.json"), filepath.Join(folder, "b.json"), filepath.Join(folder, "plot.svg")
	for _, out := range []string{a, b} {
		code, text, problems := runCommand("load", "-target", server.URL, "-rate", "200", "-duration", "200ms",
			"-mix", "echo:1/owner=msaada,other:1", "-flood", "at=50ms,for=50ms,factor=2", "-out", out, "-plot", plot)
		g.Expect(code).To(Equal(exitOK), problems)
		g.Expect(problems).To(BeEmpty(), "progress was printed without a terminal")
		g.Expect(text).To(ContainSubstring("owner msaada"))
		g.Expect(text).NotTo(ContainSubstring("\x1b"))
	}
	drawn, err := os.ReadFile(plot)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(drawn)).To(ContainSubstring("<svg"))

	code, text, _ := runCommand("load", "-compare", a, b)
	g.Expect(code).To(Equal(exitOK))
	g.Expect(text).To(ContainSubstring("p99.9"))
	code, _, _ = runCommand("load", "-compare", a)
	g.Expect(code).To(Equal(exitUsage))
}

func TestLoadFailsOnMismatchedAnswers(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Carobkeel-Result", "0")
		_, _ = io.WriteString(w, "another answer")
	}))
	defer server.Close()
	code, _, problems := runCommand("load", "-target", server.URL, "-rate", "100", "-duration", "100ms")
	g.Expect(code).To(Equal(exitFailure))
	g.Expect(problems).To(ContainSubstring("mismatched"))
}

func TestLoadReportsEveryInvalidSetting(t *testing.T) {
	g := NewWithT(t)
	code, _, problems := runCommand("load", "-rate", "0", "-plot", "x.pdf", "-mix", "", "-key-share", "2", "-body", "9-1")
	g.Expect(code).To(Equal(exitUsage))
	for _, name := range []string{"-target", "-rate", "-plot", "-mix", "-key-share", "-body"} {
		g.Expect(problems).To(ContainSubstring(name + ":"))
	}
	code, _, _ = runCommand("load", "-target", "127.0.0.1:1", "extra")
	g.Expect(code).To(Equal(exitUsage))
}
