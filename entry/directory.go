package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// DirectoryExpiry is how long an entry is listed without a word of its own.
const DirectoryExpiry = time.Minute

// Report is what an entry tells the others of itself from time to time.
type Report struct {
	Incarnation carobkeel.Incarnation
	DataCentre  carobkeel.DataCentre
	// Revision is that of the catalogue in force there.
	Revision carobkeel.Revision
}

// Listing is the last report of an entry and when it came.
type Listing struct {
	Report
	Heard time.Time
}

// Directory lists the other entries by what they reported. It belongs to one
// goroutine.
type Directory struct {
	listings map[carobkeel.Incarnation]Listing
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{listings: make(map[carobkeel.Incarnation]Listing)}
}

// Hear takes a report. An older revision of the same start comes late and is
// passed over.
func (d *Directory) Hear(r Report, now time.Time) {
	if known, ok := d.listings[r.Incarnation]; ok && known.Revision > r.Revision {
		return
	}
	d.listings[r.Incarnation] = Listing{Report: r, Heard: now}
}

// Expire drops the entries not heard of for long.
func (d *Directory) Expire(now time.Time) {
	for incarnation, known := range d.listings {
		if now.Sub(known.Heard) >= DirectoryExpiry {
			delete(d.listings, incarnation)
		}
	}
}

// List returns the entries in the order of their data centres.
func (d *Directory) List() []Listing {
	list := make([]Listing, 0, len(d.listings))
	for _, known := range d.listings {
		list = append(list, known)
	}
	slices.SortFunc(list, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
