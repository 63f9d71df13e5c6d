package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestHostedProcessesRejectInvalidSettings(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(wrong, []byte(`{"node":"a","ip":"not an address"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		args []string
		code int
		text string
	}{
		{"no such file", []string{"-node-file", "/does/not/exist"}, exitFailure, "settings file"},
		{"a wrong field", []string{"-node-file", wrong}, exitFailure, `ip "not an address"`},
		{"a wrong flag", []string{"-node-file", wrong, "-metrics-port", "0"}, exitUsage, "-metrics-port"},
		{"every wrong flag", []string{"-node-file", "", "-metrics-port", "70000"}, exitUsage, "-node-file"},
	} {
		for _, role := range []string{"entry", "sidecar"} {
			t.Run(role+": "+c.name, func(t *testing.T) {
				g := NewWithT(t)
				var out, errs bytes.Buffer
				code := run(context.Background(), append([]string{role}, c.args...), streams{in: strings.NewReader(""), out: &out, err: &errs})
				g.Expect(code).To(Equal(c.code))
				g.Expect(errs.String()).To(ContainSubstring(c.text))
			})
		}
	}
}
