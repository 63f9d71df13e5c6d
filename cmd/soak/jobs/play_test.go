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

// firstKinds are the kinds among which the seeds of earlier tests draw.
var firstKinds = []Kind{
	BusyStore, CutLinks, DarkHosts, DeafLinks, DrainWorkers, DropHistory, FreezeHolder, FreezeSidecars, GreyWorkers, KillEntry,
	LateCalls, LateWrites, RepeatRequests, ResetLinks, RestartWorkers, SilentLinks, SilentStore, SilentWorkers, SlowLinks,
	SlowWorkers, TerminateEntry,
}

// foreignKinds are those in which sidecars hear of workers from somebody else.
var foreignKinds = []Kind{
	ForeignHeartbeatsID, ForeignHeartbeatsBorn, ForeignHeartbeatsEarlier, ForeignHeartbeatsAddress, ForeignDepartures,
}

// sidecarKinds are those in which a worker lives on while its sidecar does not answer.
var sidecarKinds = []Kind{FreezeSidecars, KillSidecars, TerminateSidecars, RestartSidecars, ThrottleSidecars}

// playSeed plays a seed in processes of this code. Of the settings, the kinds of troubles and
// what the seed draws are the test's.
func playSeed(t *testing.T, c Config) {
	g := NewWithT(t)
	c.Binary, c.Duration, c.EndTime, c.Entries, c.Workers = binary, shortPlay, shortEnd, 3, 11
	c.Streams, c.ReachNext = 4, true
	c.Folder, c.Command = filepath.Join("..", "..", "..", "soak-results"), fmt.Sprintf("the play of seed %d in %s", c.Seed, t.Name())
	r, err := Play(t.Context(), c)
	g.Expect(err).NotTo(HaveOccurred())
	r.Print(os.Stdout)
	g.Expect(r.Runs).To(BeNumerically(">", 0))
	g.Expect(r.Findings).To(BeEmpty(), "kept in %s", r.Folder)
}

func TestSoakOfJobsWithSeed83(t *testing.T) {
	playSeed(t, Config{Seed: 83, Kinds: firstKinds, MostSteps: 2})
}

func TestSoakOfJobsWithSeed136(t *testing.T) {
	playSeed(t, Config{Seed: 136, Kinds: firstKinds, MostSteps: 2})
}

func TestForeignHeartbeatsDoNotRunTasksTwice(t *testing.T) {
	playSeed(t, Config{Seed: 55, Kinds: foreignKinds, MostSteps: 4})
}

func TestHeartbeatsToNeighboursDoNotRunTasksTwice(t *testing.T) {
	playSeed(t, Config{Seed: 1, Kinds: sidecarKinds, Neighbours: true, MostSteps: 4})
}

func TestReleasesDoNotRunTasksTwice(t *testing.T) {
	playSeed(t, Config{Seed: 1, Kinds: []Kind{ReleaseWorkers}, MostSteps: 4})
}
