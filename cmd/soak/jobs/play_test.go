package jobs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// shortPlay is how long jobs are submitted in the plays of the tests.
	shortPlay = 10 * time.Second
	// shortEnd is more than the rule on lost jobs needs once late calls are over.
	shortEnd = 4 * time.Second
)

// binary is built once for all plays.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runWithBinary(m))
}

func runWithBinary(m *testing.M) int {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "carobkeel")
	if out, err := exec.Command("go", "build", "-o", binary, "../../carobkeel").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// playSeed plays a seed with all kinds of troubles in processes of this code.
func playSeed(t *testing.T, seed uint64) {
	g := NewWithT(t)
	r, err := Play(t.Context(), Config{
		Binary: binary, Seed: seed, Duration: shortPlay, EndTime: shortEnd, Kinds: Kinds(), Streams: 4, ReachNext: true,
		Entries: 3, Workers: 11, Folder: filepath.Join("..", "..", "..", "soak-results"), Command: fmt.Sprintf("the test's play of seed %d", seed),
	})
	g.Expect(err).NotTo(HaveOccurred())
	r.Print(os.Stdout)
	g.Expect(r.Runs).To(BeNumerically(">", 0))
	g.Expect(r.Findings).To(BeEmpty(), "kept in %s", r.Folder)
}

func TestSoakOfJobsWithSeed83(t *testing.T) { playSeed(t, 83) }

func TestSoakOfJobsWithSeed136(t *testing.T) { playSeed(t, 136) }
