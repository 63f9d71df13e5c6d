package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// DirectoryExpiry is how long an entry is listed after its last report.
const DirectoryExpiry = time.Minute

// Report is what an entry periodically sends the other entries about itself.
type Report struct {
	Incarnation carobkeel.Incarnation
	DataCentre  carobkeel.DataCentre
	// Revision is the revision of the catalogue in force at the entry.
	Revision carobkeel.Revision
}

// ReceivedReport is the last report of an entry.
type ReceivedReport struct {
	Report
	// ReceivedAt is when the report was received.
	ReceivedAt time.Time
}

// Directory holds the last report of each of the other entries. It is not safe
// for concurrent use.
type Directory struct {
	listings map[carobkeel.Incarnation]ReceivedReport
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{listings: make(map[carobkeel.Incarnation]ReceivedReport)}
}

// Record records a report that was received now. A report with an older revision
// than the last one of the same incarnation was delayed and is ignored.
func (d *Directory) Record(r Report, now time.Time) {
	if last, ok := d.listings[r.Incarnation]; ok && last.Revision > r.Revision {
		return
	}
	d.listings[r.Incarnation] = ReceivedReport{Report: r, ReceivedAt: now}
}

// Expire removes the entries that have not reported for DirectoryExpiry.
func (d *Directory) Expire(now time.Time) {
	for incarnation, listing := range d.listings {
		if now.Sub(listing.ReceivedAt) >= DirectoryExpiry {
			delete(d.listings, incarnation)
		}
	}
}

// List returns the entries ordered by data centre, then by incarnation.
func (d *Directory) List() []ReceivedReport {
	list := make([]ReceivedReport, 0, len(d.listings))
	for _, listing := range d.listings {
		list = append(list, listing)
	}
	slices.SortFunc(list, func(a, b ReceivedReport) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
