package caller

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Claim records which request runs for an idempotency key, and at which sidecar.
// There is at most one claim for an owner, service and key.
type Claim struct {
	// Request is the id of the request that runs or has run.
	Request carobkeel.RequestID
	// Address and Home are the address and the incarnation of the sidecar that
	// the request is sent to.
	Address     string
	Incarnation carobkeel.Incarnation
	// Digest is the SHA-256 sum of the request's method, path and body.
	Digest carobkeel.Digest
	// CreatedAt is the time at which the claim was created, by the clock of the entry
	// that created it.
	CreatedAt time.Time
	// Answered reports that the request was answered. Answer then holds the answer,
	// or nil if that was too long to be stored.
	Answered bool
	Answer   *StoredAnswer
}

// StoredAnswer is a complete answer that is stored with its claim.
type StoredAnswer struct {
	Status int
	Header []carobkeel.HeaderField
	Body   []byte
}

// ClaimStep is the next step of an entry for a request with an idempotency key.
type ClaimStep uint8

// Steps for a request with an idempotency key.
const (
	// ClaimRun sends the request, because this entry has just created the claim.
	ClaimRun ClaimStep = iota
	// ClaimQuery queries the claim's sidecar for the result of the claimed request.
	ClaimQuery
	// ClaimReplay returns the answer that is stored with the claim.
	ClaimReplay
	// ClaimConflict refuses the request, because the key was used before with
	// another method, path or body.
	ClaimConflict
	// ClaimFetch fetches from the claim's sidecar an answer that was too long to
	// be stored with the claim.
	ClaimFetch
)

// NextClaimStep returns the next step for a request with the given digest. held is
// the claim that the table has for the request's key; own reports that this entry
// has just created it.
func NextClaimStep(held *Claim, digest carobkeel.Digest, own bool) ClaimStep {
	switch {
	case own:
		return ClaimRun
	case held.Digest != digest:
		return ClaimConflict
	case held.Answered && held.Answer != nil:
		return ClaimReplay
	case held.Answered:
		return ClaimFetch
	}
	return ClaimQuery
}

// MayTakeOver reports whether a new request may take over a claim after a query to
// the claim's sidecar returned err. It may only if the sidecar guarantees that the
// claimed request has not run and never will.
func MayTakeOver(err *carobkeel.Error) bool { return err != nil && err.Ran == carobkeel.RanNo }

// MaxStoredAnswer is the length in bytes of the longest answer body that is stored
// with a claim.
const MaxStoredAnswer = 8 << 10
