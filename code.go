package carobkeel

// Code is a numeric result code. Codes are stable: the meaning of a number never
// changes. docs/RESULT-CODES.md lists them for callers.
type Code uint16

// Result codes. The hundreds group them by the part that the failure concerns:
// 1xx the caller's request, 2xx load and capacity, 3xx faults on the path of the
// request, 4xx the operators' interface, 5xx jobs and tasks.
const (
	// CodeOK means that the upstream answered, with any HTTP status.
	CodeOK Code = 0

	// CodeInvalidRequest means that the request is not valid.
	CodeInvalidRequest Code = 100
	// CodeUnknownService means that the catalogue has no such service.
	CodeUnknownService Code = 101
	// CodeBodyTooLarge means that the body exceeds the service's limit.
	CodeBodyTooLarge Code = 102
	// CodeKeyConflict means that the idempotency key was used with another body.
	CodeKeyConflict Code = 103
	// CodeCallerDisconnected means that the caller disconnected before the answer.
	CodeCallerDisconnected Code = 104
	// CodeUnknownRequest means that no record of the request exists any more.
	CodeUnknownRequest Code = 105

	// CodeNoUpstream means that the service has no announced upstream.
	CodeNoUpstream Code = 200
	// CodeOverloaded means that the owner's or class's share is used up.
	CodeOverloaded Code = 201
	// CodeQueueFull means that every upstream's queue is full.
	CodeQueueFull Code = 202
	// CodeDraining means that the process addressed is shutting down.
	CodeDraining Code = 203
	// CodeStoreUnavailable means that a required write to the table service
	// failed.
	CodeStoreUnavailable Code = 204
	// CodeBacklog means that accepted jobs keep a new one from being complete in useful
	// time, or take all the memory that they may.
	CodeBacklog Code = 205
	// CodeClientsLimited means that the process holds as many bytes of clients as it
	// may.
	CodeClientsLimited Code = 206

	// CodeTimeoutNotRun means that the time ran out before the request started.
	CodeTimeoutNotRun Code = 300
	// CodeTimeoutUnknown means that the time ran out after the request was sent.
	CodeTimeoutUnknown Code = 301
	// CodeLinkLost means that the link to the sidecar was lost with the request
	// in flight, so that it is unknown whether the request ran.
	CodeLinkLost Code = 302
	// CodeUpstreamFailed means that the upstream failed before its answer was complete.
	CodeUpstreamFailed Code = 303
	// CodeUpstreamUnreachable means that the upstream accepted no connection.
	CodeUpstreamUnreachable Code = 304
	// CodeAnswerLost means that the request ran but its answer is no longer available.
	CodeAnswerLost Code = 305

	// CodeInvalidEntry means that a catalogue entry failed validation.
	CodeInvalidEntry Code = 400
	// CodeRevisionConflict means that another edit was applied first.
	CodeRevisionConflict Code = 401
	// CodeRevisionRequired means that the edit names no revision.
	CodeRevisionRequired Code = 402
	// CodeUnknownEntry means that the catalogue has no such entry.
	CodeUnknownEntry Code = 403
	// CodeStopRefused means that a planned stop would leave a service without
	// an instance.
	CodeStopRefused Code = 404
	// CodeEditUnsettled means that it is not known whether an edit was applied.
	CodeEditUnsettled Code = 405
	// CodeUnknownStop means that there is no such planned stop.
	CodeUnknownStop Code = 406
	// CodeEntryInUse means that an edit would break running work.
	CodeEntryInUse Code = 407
	// CodeStopFinished means that a planned stop is finished and can't be changed.
	CodeStopFinished Code = 408

	// CodeUnknownJob means that there is no such job.
	CodeUnknownJob Code = 500
	// CodeNeverFits means that no host could ever run the task.
	CodeNeverFits Code = 501
	// CodeStaleEpoch means that the action carried an older epoch.
	CodeStaleEpoch Code = 502
	// CodeHostFull means that the host has no room for the task.
	CodeHostFull Code = 503
	// CodeLeaseExpired means that the task's lease had expired.
	CodeLeaseExpired Code = 504
	// CodeCheckpointInvalid means that a checkpoint is truncated, damaged or
	// of a newer format.
	CodeCheckpointInvalid Code = 505
	// CodeJobFinished means that the job has already ended.
	CodeJobFinished Code = 506
	// CodeJobCancelled means that the job was cancelled before it was stored.
	CodeJobCancelled Code = 507
)

// Ran tells whether a request was executed.
type Ran uint8

const (
	// RanNo guarantees that the request has not run and never will.
	RanNo Ran = iota
	// RanYes means that the upstream executed the request.
	RanYes
	// RanUnknown means that the outcome is unknown.
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
	// Title is a human-readable summary in one sentence.
	Title string
	// Ran tells whether a request with this code was executed.
	Ran Ran
	// Retryable reports that the same request may be sent again unchanged.
	Retryable bool
}

var codeTable = []CodeInfo{
	{CodeOK, "ok", "The upstream answered", RanYes, false},
	{CodeInvalidRequest, "invalid-request", "The request is not valid", RanNo, false},
	{CodeUnknownService, "unknown-service", "The catalogue has no such service", RanNo, false},
	{CodeBodyTooLarge, "body-too-large", "The request body is too large", RanNo, false},
	{CodeKeyConflict, "key-conflict", "The idempotency key belongs to another request", RanNo, false},
	{CodeCallerDisconnected, "caller-gone", "The caller went away", RanUnknown, false},
	{CodeUnknownRequest, "unknown-request", "No record of the request is left", RanUnknown, false},
	{CodeNoUpstream, "no-upstream", "No upstream of the service is available", RanNo, true},
	{CodeOverloaded, "overloaded", "The share of this owner and class is used up", RanNo, true},
	{CodeQueueFull, "queue-full", "All queues of the service are full", RanNo, true},
	{CodeDraining, "draining", "The process is shutting down", RanNo, true},
	{CodeStoreUnavailable, "store-unavailable", "The table service did not take a needed write", RanNo, true},
	{CodeBacklog, "backlog", "Accepted jobs would make this one too late", RanNo, true},
	{CodeClientsLimited, "clients-limited", "The process holds as many bytes of clients as it may", RanNo, true},
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
	{CodeJobCancelled, "job-cancelled", "The job was cancelled before it was stored", RanNo, false},
}

// Codes returns the description of every result code, by number.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the description of c. An unlisted code gets a description
// with an unknown outcome.
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
