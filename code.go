package carobkeel

// Code is a numbered result. Numbers are stable: a number is never given
// another meaning. docs/RESULT-CODES.md is the table for callers.
type Code uint16

// Result codes. The hundreds group them by who can do something about it: 1xx
// the caller's request, 2xx load and capacity, 3xx faults on the way, 4xx the
// operators' interface, 5xx jobs and tasks.
const (
	// CodeOK is the upstream's own answer, whatever its HTTP status.
	CodeOK Code = 0

	// CodeInvalidRequest says that the request itself is wrong.
	CodeInvalidRequest Code = 100
	// CodeUnknownService says that the catalogue has no such service.
	CodeUnknownService Code = 101
	// CodeBodyTooLarge says that the body exceeds the service's limit.
	CodeBodyTooLarge Code = 102
	// CodeKeyConflict says that the idempotency key came with another body.
	CodeKeyConflict Code = 103
	// CodeCallerGone says that the caller went away before the answer.
	CodeCallerGone Code = 104
	// CodeUnknownRequest says that no record of the request is left.
	CodeUnknownRequest Code = 105

	// CodeNoUpstream says that no upstream of the service is announced.
	CodeNoUpstream Code = 200
	// CodeOverloaded says that the owner's or class's share is used up.
	CodeOverloaded Code = 201
	// CodeQueueFull says that every upstream's queue is full.
	CodeQueueFull Code = 202
	// CodeDraining says that the process that was asked is shutting down.
	CodeDraining Code = 203
	// CodeStoreUnavailable says that a needed write to the table service did
	// not go through.
	CodeStoreUnavailable Code = 204

	// CodeTimeoutNotRun says that the time ran out before the request started.
	CodeTimeoutNotRun Code = 300
	// CodeTimeoutUnknown says that the time ran out after the request was sent.
	CodeTimeoutUnknown Code = 301
	// CodeLinkLost says that the link to the sidecar was lost with the request
	// in flight, and nobody can say whether it ran.
	CodeLinkLost Code = 302
	// CodeUpstreamFailed says that the upstream broke off in mid-answer.
	CodeUpstreamFailed Code = 303
	// CodeUpstreamUnreachable says that the upstream took no connection.
	CodeUpstreamUnreachable Code = 304
	// CodeAnswerLost says that the request ran and its answer is gone.
	CodeAnswerLost Code = 305

	// CodeInvalidEntry says that a catalogue entry did not pass validation.
	CodeInvalidEntry Code = 400
	// CodeRevisionConflict says that another edit came first.
	CodeRevisionConflict Code = 401
	// CodeRevisionRequired says that the edit names no revision.
	CodeRevisionRequired Code = 402
	// CodeUnknownEntry says that the catalogue has no such entry.
	CodeUnknownEntry Code = 403
	// CodeStopRefused says that a planned stop would leave a service without
	// an instance.
	CodeStopRefused Code = 404
	// CodeEditUnsettled says that it is not known whether an edit was taken.
	CodeEditUnsettled Code = 405
	// CodeUnknownStop says that there is no such planned stop.
	CodeUnknownStop Code = 406
	// CodeEntryInUse says that an edit would break work that runs.
	CodeEntryInUse Code = 407
	// CodeStopFinished says that a planned stop is done and can't be changed.
	CodeStopFinished Code = 408

	// CodeUnknownJob says that there is no such job.
	CodeUnknownJob Code = 500
	// CodeNeverFits says that no host could ever run the task.
	CodeNeverFits Code = 501
	// CodeStaleEpoch says that the action came under an older epoch.
	CodeStaleEpoch Code = 502
	// CodeHostFull says that the host has no room for the task.
	CodeHostFull Code = 503
	// CodeLeaseExpired says that the task's lease had lapsed.
	CodeLeaseExpired Code = 504
	// CodeCheckpointInvalid says that a checkpoint is torn or of a newer format.
	CodeCheckpointInvalid Code = 505
	// CodeJobFinished says that the job has already ended.
	CodeJobFinished Code = 506
)

// Ran says whether a request was carried out.
type Ran uint8

const (
	// RanNo promises that the request has not run and never will.
	RanNo Ran = iota
	// RanYes says that the upstream carried the request out.
	RanYes
	// RanUnknown says that nobody can tell now.
	RanUnknown
)

var ranNames = [...]string{"no", "yes", "unknown"}

// String returns "no", "yes" or "unknown".
func (r Ran) String() string {
	if int(r) >= len(ranNames) {
		return "unknown"
	}
	return ranNames[r]
}

// CodeInfo describes a result code.
type CodeInfo struct {
	Code Code
	// Name is the code's stable short name.
	Name string
	// Title is one sentence for people.
	Title string
	// Ran is what the code says about the request.
	Ran Ran
	// Retryable says that the same request may be sent again as it is.
	Retryable bool
}

var codeTable = []CodeInfo{
	{CodeOK, "ok", "The upstream answered", RanYes, false},
	{CodeInvalidRequest, "invalid-request", "The request is not valid", RanNo, false},
	{CodeUnknownService, "unknown-service", "The catalogue has no such service", RanNo, false},
	{CodeBodyTooLarge, "body-too-large", "The request body is too large", RanNo, false},
	{CodeKeyConflict, "key-conflict", "The idempotency key belongs to another request", RanNo, false},
	{CodeCallerGone, "caller-gone", "The caller went away", RanUnknown, false},
	{CodeUnknownRequest, "unknown-request", "No record of the request is left", RanUnknown, false},
	{CodeNoUpstream, "no-upstream", "No upstream of the service is available", RanNo, true},
	{CodeOverloaded, "overloaded", "The share of this owner and class is used up", RanNo, true},
	{CodeQueueFull, "queue-full", "All queues of the service are full", RanNo, true},
	{CodeDraining, "draining", "The process is shutting down", RanNo, true},
	{CodeStoreUnavailable, "store-unavailable", "The table service did not take a needed write", RanNo, true},
	{CodeTimeoutNotRun, "timeout-not-run", "The time ran out before the request started", RanNo, true},
	{CodeTimeoutUnknown, "timeout-unknown", "The time ran out while the request was in flight", RanUnknown, false},
	{CodeLinkLost, "link-lost", "The link was lost with the request in flight", RanUnknown, false},
	{CodeUpstreamFailed, "upstream-failed", "The upstream broke off", RanUnknown, false},
	{CodeUpstreamUnreachable, "upstream-unreachable", "The upstream took no connection", RanNo, true},
	{CodeAnswerLost, "answer-lost", "The request ran and its answer is gone", RanYes, false},
	{CodeInvalidEntry, "invalid-entry", "The catalogue entry is not valid", RanNo, false},
	{CodeRevisionConflict, "revision-conflict", "Another edit came first", RanNo, false},
	{CodeRevisionRequired, "revision-required", "The edit must name the revision that it changes", RanNo, false},
	{CodeUnknownEntry, "unknown-entry", "The catalogue has no such entry", RanNo, false},
	{CodeStopRefused, "stop-refused", "The stop would leave a service without an instance", RanNo, false},
	{CodeEditUnsettled, "edit-unsettled", "It is not known yet whether the edit was taken", RanUnknown, false},
	{CodeUnknownStop, "unknown-stop", "There is no such planned stop", RanNo, false},
	{CodeEntryInUse, "entry-in-use", "The edit would break work that runs", RanNo, false},
	{CodeStopFinished, "stop-finished", "The planned stop is done", RanNo, false},
	{CodeUnknownJob, "unknown-job", "There is no such job", RanNo, false},
	{CodeNeverFits, "never-fits", "No host can ever run this task", RanNo, false},
	{CodeStaleEpoch, "stale-epoch", "The action came under an older epoch", RanNo, false},
	{CodeHostFull, "host-full", "The host has no room", RanNo, true},
	{CodeLeaseExpired, "lease-expired", "The lease had lapsed", RanNo, false},
	{CodeCheckpointInvalid, "checkpoint-invalid", "The checkpoint can't be used", RanNo, false},
	{CodeJobFinished, "job-finished", "The job has already ended", RanNo, false},
}

// Codes returns the description of every result code, by number.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the description of c. An unlisted code is described as one whose
// outcome is unknown.
func (c Code) Info() CodeInfo {
	for i := range codeTable {
		if codeTable[i].Code == c {
			return codeTable[i]
		}
	}
	return CodeInfo{Code: c, Name: "unlisted", Title: "The result is not known", Ran: RanUnknown}
}

// String returns the code's short name.
func (c Code) String() string { return c.Info().Name }
