package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// DigestFormat is the version of the digest computation. Digests of different
// formats can't be compared. It changes with the fields of an Entry or Quota.
const DigestFormat = 1

// Stamp identifies a state of the catalogue. A digest of zero is unknown and
// conflicts with no other.
type Stamp struct {
	Revision carobkeel.Revision
	Digest   uint64
}

// Conflicts reports whether the two stamps identify different states of the same
// revision.
func (s Stamp) Conflicts(other Stamp) bool {
	return s.Revision == other.Revision && s.Digest != other.Digest && s.Digest != 0 && other.Digest != 0
}

// StampOf computes the stamp of a catalogue from its complete content.
func StampOf(c *carobkeel.Catalogue) Stamp {
	if c == nil {
		return Stamp{}
	}
	var digest uint64
	for _, entry := range c.Entries {
		digest += entryDigest(entry)
	}
	for _, quota := range c.Quotas {
		digest += quotaDigest(quota)
	}
	return Stamp{Revision: c.Revision, Digest: digest}
}

// StampedChange is a change and the digest of the catalogue after it.
type StampedChange struct {
	Change operator.Change
	Digest uint64
}

// stampAfter returns the stamp of the catalogue after a change. It is computed
// incrementally from the stamp before the change and the values that the change
// replaces.
func stampAfter(before Stamp, c *carobkeel.Catalogue, change operator.Change) Stamp {
	digest := before.Digest
	for _, item := range change.Items {
		digest += digestAfter(item) - digestBefore(c, item)
	}
	return Stamp{Revision: change.Revision, Digest: digest}
}

func digestBefore(c *carobkeel.Catalogue, item operator.ChangeItem) uint64 {
	if c == nil {
		return 0
	}
	if item.Kind == operator.KindOwner {
		if quota, ok := c.Quotas[carobkeel.Owner(item.Name)]; ok {
			return quotaDigest(quota)
		}
		return 0
	}
	if entry, ok := c.Entries[item.Name]; ok {
		return entryDigest(entry)
	}
	return 0
}

func digestAfter(item operator.ChangeItem) uint64 {
	switch {
	case item.EntryAfter != nil:
		return entryDigest(item.EntryAfter)
	case item.QuotaAfter != nil:
		return quotaDigest(*item.QuotaAfter)
	}
	return 0
}

func entryDigest(entry *carobkeel.Entry) uint64 { return digestOf("entry", *entry) }

func quotaDigest(quota carobkeel.Quota) uint64 { return digestOf("quota", quota) }

func digestOf(kind string, value any) uint64 {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %+v", kind, value))
	return binary.BigEndian.Uint64(sum[:])
}
