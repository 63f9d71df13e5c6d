package caller

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Claim says which request carries out the work of an idempotency key, and where.
// There is at most one claim for an owner, service and key.
type Claim struct {
	// Request is the request that runs, or ran.
	Request carobkeel.RequestID
	// Address and Home are the sidecar that the request is sent to.
	Address string
	Home    carobkeel.Incarnation
	// Digest is the sum of the request's method, path and body.
	Digest carobkeel.Digest
	// Born is when the claim was made, by the clock of the entry that made it.
	Born time.Time
	// Ended says that the request was answered. Answer is then the answer,
	// nil where it was too long to be kept.
	Ended  bool
	Answer *KeptAnswer
}

// KeptAnswer is a whole answer that is kept with its claim.
type KeptAnswer struct {
	Status int
	Header []carobkeel.Field
	Body   []byte
}

// ClaimStep is what an entry does with a keyed request next.
type ClaimStep uint8

// Steps of a keyed request.
const (
	// ClaimRun sends the request: the claim is this entry's own.
	ClaimRun ClaimStep = iota
	// ClaimAsk asks the claim's sidecar what became of the request.
	ClaimAsk
	// ClaimReplay gives the answer that is kept with the claim.
	ClaimReplay
	// ClaimConflict refuses: the key came with another body.
	ClaimConflict
	// ClaimFetch asks the claim's sidecar for an answer that was too long to
	// be kept with the claim.
	ClaimFetch
)

// NextClaimStep returns what to do with a request whose digest is given, where
// held is the claim that the table has for its key, and own says that it is the
// claim this entry has just made.
func NextClaimStep(held *Claim, digest carobkeel.Digest, own bool) ClaimStep {
	switch {
	case own:
		return ClaimRun
	case held.Digest != digest:
		return ClaimConflict
	case held.Ended && held.Answer != nil:
		return ClaimReplay
	case held.Ended:
		return ClaimFetch
	}
	return ClaimAsk
}

// MayTakeOver reports whether a claim may pass to a new request after its
// sidecar was asked and answered with err: only where the sidecar promises that
// the claimed request has not run and never will.
func MayTakeOver(err *carobkeel.Error) bool { return err != nil && err.Ran == carobkeel.RanNo }

// MaxKeptAnswer is the longest body, in bytes, that is kept with a claim.
const MaxKeptAnswer = 8 << 10
