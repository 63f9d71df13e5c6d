package catalogfile_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

// exampleWorkers is the number of workers in the fleet of each example.
const exampleWorkers = 10

func TestExamplesFitTheirFleets(t *testing.T) {
	for file, worker := range map[string]carobkeel.Resources{
		"msaada.yaml": {MilliCPU: 32_000, MemoryBytes: 125_000_000_000},
		"guild.yaml":  {MilliCPU: 16_000, MemoryBytes: 60_000_000_000},
	} {
		t.Run(file, func(t *testing.T) {
			g := NewWithT(t)
			data, err := os.ReadFile("../../examples/" + file)
			g.Expect(err).NotTo(HaveOccurred())
			doc, err := catalogfile.Read(data)
			g.Expect(err).NotTo(HaveOccurred())
			var guaranteed carobkeel.Resources
			for _, quota := range doc.Quotas {
				guaranteed = guaranteed.Add(quota.Guaranteed)
			}
			fleet := carobkeel.Resources{
				MilliCPU: exampleWorkers * worker.MilliCPU, MemoryBytes: exampleWorkers * worker.MemoryBytes,
			}
			g.Expect(guaranteed.FitsIn(fleet)).To(BeTrue(), "the quotas fit in the fleet")
			for _, entry := range doc.Entries {
				g.Expect(entry.Demand.FitsIn(worker)).To(BeTrue(), "%s fits on a worker", entry.Name)
			}
		})
	}
}
