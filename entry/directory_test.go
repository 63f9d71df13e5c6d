package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

func TestDirectoryListsTheLastReportOfEachEntry(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	d := entry.NewDirectory()
	report := func(incarnation carobkeel.Incarnation, revision carobkeel.Revision) entry.Report {
		return entry.Report{Incarnation: incarnation, DataCentre: "dar-1", Revision: revision}
	}
	d.Record(report(1, 5), now)
	d.Record(report(2, 4), now)
	d.Record(report(1, 4), now.Add(time.Second))
	g.Expect(d.List()).To(Equal([]entry.ReceivedReport{
		{Report: report(1, 5), ReceivedAt: now},
		{Report: report(2, 4), ReceivedAt: now},
	}), "a delayed report does not restore an older revision")
	d.Record(report(2, 6), now.Add(time.Second))
	d.Expire(now.Add(entry.DirectoryExpiry))
	g.Expect(d.List()).To(HaveLen(1), "an entry without a recent report is removed")
}
