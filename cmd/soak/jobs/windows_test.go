package jobs

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWindowsOfIncarnationsAreReadFromTheLogsOfSidecars(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	began := time.Date(2026, 12, 6, 22, 54, 2, 0, time.UTC)
	line := func(born, reached time.Duration, first bool) string {
		return fmt.Sprintf(`{"time":%q,"part":"sidecar","message":"worker incarnation reached","born":%d,"first":%v}`+"\n",
			began.Add(reached).Format(time.RFC3339Nano), began.Add(born).UnixMilli(), first)
	}
	logs := line(-time.Second, time.Second, true) + "panic: not JSON\n" +
		line(time.Second, 1770*time.Millisecond, false) + line(2*time.Second, 2010*time.Millisecond, false) +
		line(3*time.Second, 5*time.Second, true)
	g.Expect(os.WriteFile(filepath.Join(folder, "side-1"+logSuffix), []byte(logs), 0o600)).To(Succeed())
	w, err := readWindows(folder, began)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w).To(Equal(Windows{
		Running: []time.Duration{10 * time.Millisecond, 770 * time.Millisecond}, New: []time.Duration{2 * time.Second},
	}))
}
