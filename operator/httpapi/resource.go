package httpapi

import (
	"encoding/json"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

// resource is a kind of catalogue item with its own URLs.
type resource interface {
	kind() operator.Kind
	// find returns the encoded current state and its revision.
	find(c *carobkeel.Catalogue, name string) (data []byte, revision carobkeel.Revision, found bool)
	// read decodes a new state from a request body.
	read(name string, data []byte) (operator.EditItem, error)
}

// entryResource is the resource of services and batch tasks.
type entryResource struct{}

func (entryResource) kind() operator.Kind { return operator.KindEntry }

func (entryResource) find(c *carobkeel.Catalogue, name string) ([]byte, carobkeel.Revision, bool) {
	entry, ok := c.Lookup(name)
	if !ok {
		return nil, 0, false
	}
	data, err := catalogfile.WriteEntryJSON(*entry)
	return data, entry.Revision, err == nil
}

func (entryResource) read(_ string, data []byte) (operator.EditItem, error) {
	entry, err := catalogfile.ReadEntry(data)
	return operator.EditItem{Entry: &entry}, err
}

// ownerResource is the resource of owners and their quotas.
type ownerResource struct{}

func (ownerResource) kind() operator.Kind { return operator.KindOwner }

func (ownerResource) find(c *carobkeel.Catalogue, name string) ([]byte, carobkeel.Revision, bool) {
	quota, ok := c.Quotas[carobkeel.Owner(name)]
	if !ok {
		return nil, 0, false
	}
	data, err := catalogfile.WriteQuotaJSON(quota)
	return data, quota.Revision, err == nil
}

func (ownerResource) read(name string, data []byte) (operator.EditItem, error) {
	quota, err := catalogfile.ReadQuota(carobkeel.Owner(name), data)
	return operator.EditItem{Quota: &quota}, err
}

// absentState is the current state of an entry or owner that does not exist.
var absentState = json.RawMessage("null")
