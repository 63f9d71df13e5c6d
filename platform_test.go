package carobkeel_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// platformNames are names in the messages of the platform.
var platformNames = []string{
	"fence_token", "ack_cursor", "run-start", "run-stop", "expect_rev", "rows-tx", "rows-feed", "tombstone",
	"beat_addr", "cold_left_ms", "est_duration_ms", "may_miss", "allow_dup", "saves_progress", "max_hold_ms",
	"Time-Budget-Ms", "Target-Instance", "minion", "instances/", "carobkeel/readiness", "slo_ms",
}

// Only platform/ may use the platform's names, and only commands may import it.
func TestPlatformStaysInItsFolder(t *testing.T) {
	g := NewWithT(t)
	out, err := exec.Command("git", "ls-files", "*.go").Output()
	if err != nil {
		t.Skip("git ls-files failed: not a git checkout")
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
		for _, platformName := range platformNames {
			g.Expect(string(source)).NotTo(ContainSubstring(platformName), name)
		}
		if !strings.HasPrefix(name, "cmd/") {
			g.Expect(string(source)).NotTo(ContainSubstring(`"`+module+`/platform"`), name)
		}
	}
}
