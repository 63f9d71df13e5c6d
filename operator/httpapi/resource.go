package httpapi

import (
	"encoding/json"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

// resource is a kind of thing in the catalogue that has a URL.
type resource interface {
	kind() operator.Kind
	// find returns the encoded state and its revision.
	find(c *carobkeel.Catalogue, name string) (data []byte, revision carobkeel.Revision, found bool)
	// read decodes the new state.
	read(name string, data []byte) (operator.EditItem, error)
}

// entries are the services and batch tasks.
type entries struct{}

func (entries) kind() operator.Kind { return operator.KindEntry }

func (entries) find(c *carobkeel.Catalogue, name string) ([]byte, carobkeel.Revision, bool) {
	entry, ok := c.Lookup(name)
	if !ok {
		return nil, 0, false
	}
	data, err := catalogfile.WriteEntryJSON(*entry)
	return data, entry.Revision, err == nil
}

func (entries) read(_ string, data []byte) (operator.EditItem, error) {
	entry, err := catalogfile.ReadEntry(data)
	return operator.EditItem{Entry: &entry}, err
}

// owners are the owners with their quotas.
type owners struct{}

func (owners) kind() operator.Kind { return operator.KindOwner }

func (owners) find(c *carobkeel.Catalogue, name string) ([]byte, carobkeel.Revision, bool) {
	quota, ok := c.Quotas[carobkeel.Owner(name)]
	if !ok {
		return nil, 0, false
	}
	data, err := catalogfile.WriteQuotaJSON(quota)
	return data, quota.Revision, err == nil
}

func (owners) read(name string, data []byte) (operator.EditItem, error) {
	quota, err := catalogfile.ReadQuota(carobkeel.Owner(name), data)
	return operator.EditItem{Quota: &quota}, err
}

// absentState stands for the current state of what is not there.
var absentState = json.RawMessage("null")
