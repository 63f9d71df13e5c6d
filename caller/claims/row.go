// Package claims stores the claims of idempotency keys in the table service, so
// that requests with the same key run only once even if they arrive through
// different entries.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

//go:generate go tool msgp -file row.go -o row_gen.go -tests=false -unexported

// The limit is the length of a frame, which no list, map or byte string exceeds.
//
//msgp:limit arrays:262144 maps:262144

// Prefix is the key prefix of all claim rows.
const Prefix = "claims/"

// row is the encoding of a claim in the table.
type row struct {
	Entry         uint64 `msg:"e"`
	Sequence      uint64 `msg:"s"`
	Address       string `msg:"a"`
	Home          uint64 `msg:"h"`
	Digest        []byte `msg:"d"`
	CreatedMicros int64  `msg:"b"`
	Ended         bool   `msg:"x"`
	HasAnswer     bool   `msg:"y"`
	Status        int    `msg:"st"`
	// Header holds field names and values alternately.
	Header []string `msg:"hd"`
	Body   []byte   `msg:"bd"`
}

// rowKey returns the row key for an owner, service and idempotency key.
func rowKey(owner carobkeel.Owner, service carobkeel.Service, key string) string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, string(owner)+"\x00"+string(service)+"\x00"+key)
	return Prefix + hex.EncodeToString(sum.Sum(nil))
}

func encode(c *caller.Claim) ([]byte, error) {
	r := row{
		Entry:         uint64(c.Request.Entry),
		Sequence:      c.Request.Sequence,
		Address:       c.Address,
		Home:          uint64(c.Incarnation),
		Digest:        c.Digest[:],
		CreatedMicros: c.CreatedAt.UnixMicro(),
		Ended:         c.Answered,
		HasAnswer:     c.Answer != nil,
	}
	if c.Answer != nil {
		r.Status, r.Body = c.Answer.Status, c.Answer.Body
		for _, field := range c.Answer.Header {
			r.Header = append(r.Header, field.Name, field.Value)
		}
	}
	data, err := r.MarshalMsg(nil)
	return data, errors.Wrap(err, "encode claim")
}

func decode(data []byte) (*caller.Claim, error) {
	var r row
	if _, err := r.UnmarshalMsg(data); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	c := &caller.Claim{
		Request:     carobkeel.RequestID{Entry: carobkeel.Incarnation(r.Entry), Sequence: r.Sequence},
		Address:     r.Address,
		Incarnation: carobkeel.Incarnation(r.Home),
		CreatedAt:   time.UnixMicro(r.CreatedMicros),
		Answered:    r.Ended,
	}
	if copy(c.Digest[:], r.Digest) != len(c.Digest) {
		return nil, errors.New("decode claim: short digest")
	}
	if r.HasAnswer {
		c.Answer = &caller.StoredAnswer{Status: r.Status, Body: r.Body}
		for i := 0; i+1 < len(r.Header); i += 2 {
			c.Answer.Header = append(c.Answer.Header, carobkeel.HeaderField{Name: r.Header[i], Value: r.Header[i+1]})
		}
	}
	return c, nil
}
