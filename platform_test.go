package carobkeel_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// platformWords are names that the platform gives to things on its wire.
var platformWords = []string{
	"fence_token", "ack_cursor", "run-start", "run-stop", "expect_rev", "rows-tx", "rows-feed", "tombstone",
	"beat_addr", "cold_left_ms", "est_duration_ms", "may_miss", "allow_dup", "saves_progress", "max_hold_ms",
	"Time-Budget-Ms", "Target-Instance", "minion", "instances/", "carobkeel/readiness", "slo_ms",
}

// Only platform/ knows the platform's words, and only commands import it.
func TestPlatformStaysInItsFolder(t *testing.T) {
	g := NewWithT(t)
	out, err := exec.Command("git", "ls-files", "*.go").Output()
	if err != nil {
		t.Skip("no list of files: not a git checkout")
	}
	for _, name := range strings.Fields(string(out)) {
		source, err := os.ReadFile(name)
		if os.IsNotExist(err) {
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		if strings.HasPrefix(name, "platform/") || name == "platform_test.go" {
			continue
		}
		for _, word := range platformWords {
			g.Expect(string(source)).NotTo(ContainSubstring(word), name)
		}
		if !strings.HasPrefix(name, "cmd/") {
			g.Expect(string(source)).NotTo(ContainSubstring(`"`+module+`/platform"`), name)
		}
	}
}
