package operator

import (
	"sort"

	"github.com/carobkeel/carobkeel"
)

// Document is the content of a catalogue file or an API response: owners and
// entries.
type Document struct {
	// Revision is the revision of the catalogue in the document, or zero if the
	// document names none.
	Revision carobkeel.Revision
	// Quotas holds the owners, sorted by name.
	Quotas []carobkeel.Quota
	// Entries holds the services and batch tasks in the document's order.
	Entries []carobkeel.Entry
	// OwnersListed reports that the document lists owners, so that its entries
	// may name no others.
	OwnersListed bool
}

// DocumentFromCatalogue returns the document with the full catalogue, sorted by name.
func DocumentFromCatalogue(c *carobkeel.Catalogue) Document {
	doc := Document{OwnersListed: true}
	if c == nil {
		return doc
	}
	doc.Revision = c.Revision
	for _, quota := range c.Quotas {
		doc.Quotas = append(doc.Quotas, quota)
	}
	for _, entry := range c.Entries {
		doc.Entries = append(doc.Entries, *entry)
	}
	sort.Slice(doc.Quotas, func(i, j int) bool { return doc.Quotas[i].Owner < doc.Quotas[j].Owner })
	sort.Slice(doc.Entries, func(i, j int) bool { return doc.Entries[i].Name < doc.Entries[j].Name })
	return doc
}

// Catalogue returns the catalogue that holds exactly the document's owners and
// entries, all at the given revision.
func (d Document) Catalogue(revision carobkeel.Revision) *carobkeel.Catalogue {
	c := &carobkeel.Catalogue{
		Revision: revision,
		Entries:  make(map[string]*carobkeel.Entry, len(d.Entries)),
		Quotas:   make(map[carobkeel.Owner]carobkeel.Quota, len(d.Quotas)),
	}
	for _, quota := range d.Quotas {
		quota.Revision = revision
		c.Quotas[quota.Owner] = quota
	}
	for _, entry := range d.Entries {
		entry.Revision = revision
		c.Entries[entry.Name] = &entry
	}
	return c
}
