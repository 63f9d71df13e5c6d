package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/carobkeel/carobkeel"
)

// Header fields of requests and answers.
const (
	// RequestIDHeader carries the request id in each answer.
	RequestIDHeader = "Carobkeel-Request-Id"
	// ResultHeader carries the number of the result code in each answer.
	ResultHeader = "Carobkeel-Result"
	// TimeoutHeader carries the caller's time limit in a request, such as 800ms.
	TimeoutHeader = "Carobkeel-Timeout"
	// KeyHeader carries the idempotency key of a request.
	KeyHeader = "Idempotency-Key"
)

// problem is a problem document after RFC 9457.
type problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Code      uint16 `json:"code"`
	Ran       string `json:"ran"`
	RequestID string `json:"request_id,omitempty"`
}

var statuses = map[carobkeel.Code]int{
	carobkeel.CodeInvalidRequest:      http.StatusBadRequest,
	carobkeel.CodeUnknownService:      http.StatusNotFound,
	carobkeel.CodeBodyTooLarge:        http.StatusRequestEntityTooLarge,
	carobkeel.CodeKeyConflict:         http.StatusUnprocessableEntity,
	carobkeel.CodeCallerDisconnected:  499,
	carobkeel.CodeUnknownRequest:      http.StatusNotFound,
	carobkeel.CodeNoUpstream:          http.StatusServiceUnavailable,
	carobkeel.CodeOverloaded:          http.StatusTooManyRequests,
	carobkeel.CodeQueueFull:           http.StatusServiceUnavailable,
	carobkeel.CodeDraining:            http.StatusServiceUnavailable,
	carobkeel.CodeStoreUnavailable:    http.StatusServiceUnavailable,
	carobkeel.CodeBacklog:             http.StatusServiceUnavailable,
	carobkeel.CodeClientsLimited:      http.StatusServiceUnavailable,
	carobkeel.CodeTimeoutNotRun:       http.StatusGatewayTimeout,
	carobkeel.CodeTimeoutUnknown:      http.StatusGatewayTimeout,
	carobkeel.CodeLinkLost:            http.StatusBadGateway,
	carobkeel.CodeUpstreamFailed:      http.StatusBadGateway,
	carobkeel.CodeUpstreamUnreachable: http.StatusBadGateway,
	carobkeel.CodeAnswerLost:          http.StatusBadGateway,
	carobkeel.CodeInvalidEntry:        http.StatusUnprocessableEntity,
	carobkeel.CodeRevisionConflict:    http.StatusPreconditionFailed,
	carobkeel.CodeRevisionRequired:    http.StatusPreconditionRequired,
	carobkeel.CodeUnknownEntry:        http.StatusNotFound,
	carobkeel.CodeStopRefused:         http.StatusConflict,
	carobkeel.CodeEditUnsettled:       http.StatusServiceUnavailable,
	carobkeel.CodeUnknownStop:         http.StatusNotFound,
	carobkeel.CodeEntryInUse:          http.StatusConflict,
	carobkeel.CodeStopFinished:        http.StatusConflict,
	carobkeel.CodeUnknownJob:          http.StatusNotFound,
	carobkeel.CodeNeverFits:           http.StatusUnprocessableEntity,
	carobkeel.CodeStaleEpoch:          http.StatusConflict,
	carobkeel.CodeHostFull:            http.StatusServiceUnavailable,
	carobkeel.CodeLeaseExpired:        http.StatusConflict,
	carobkeel.CodeCheckpointInvalid:   http.StatusUnprocessableEntity,
	carobkeel.CodeJobFinished:         http.StatusConflict,
	carobkeel.CodeJobCancelled:        http.StatusConflict,
}

// Status returns the HTTP status for a result code.
func Status(code carobkeel.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	if code == carobkeel.CodeOK {
		return http.StatusOK
	}
	return http.StatusInternalServerError
}

// WriteProblem writes the error as a problem document.
func WriteProblem(w http.ResponseWriter, id carobkeel.RequestID, e *carobkeel.Error) {
	body := problem{
		Type:   "about:blank",
		Title:  e.Code.Info().Title,
		Status: Status(e.Code),
		Detail: e.Detail,
		Code:   uint16(e.Code),
		Ran:    e.Ran.String(),
	}
	header := w.Header()
	if !id.IsZero() {
		body.RequestID = id.String()
		header.Set(RequestIDHeader, body.RequestID)
	}
	header.Set(ResultHeader, strconv.Itoa(int(e.Code)))
	if e.Ran == carobkeel.RanNo && e.Code.Info().Retryable {
		header.Set("Retry-After", retryAfter(e))
	}
	header.Set("Content-Type", "application/problem+json")
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// retryAfter returns the error's retry delay in whole seconds, at least one.
func retryAfter(e *carobkeel.Error) string {
	seconds := int(math.Ceil(e.RetryAfter.Seconds()))
	return strconv.Itoa(max(seconds, 1))
}
