package loadtest

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
)

// HeaderRequestName is the request header with the name of the planned request. A
// request and its repeat have the same name. An upstream that records the names
// allows a comparison of the requests that ran with the results that callers got.
const HeaderRequestName = "Load-Request"

// Headers and media type of the callers' interface.
const (
	headerTimeout   = "Carobkeel-Timeout"
	headerResult    = "Carobkeel-Result"
	headerRequestID = "Carobkeel-Request-Id"
	headerRuns      = "Upstream-Runs"
	mediaProblem    = "application/problem+json"
)

// answer is an HTTP response that was read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// problem holds the fields of a refusal's body that are checked.
type problem struct {
	Code carobkeel.Code `json:"code"`
	Ran  string         `json:"ran"`
}

// checkResponse checks an answer against the request that was sent.
func checkResponse(share plan.Share, request plan.Request, sent []byte, a answer) Result {
	result := Result{Request: request, Share: share, RequestID: a.header.Get(headerRequestID)}
	code, err := strconv.ParseUint(a.header.Get(headerResult), 10, 16)
	switch {
	case err != nil:
		result.Outcome, result.Reason = Failed, ReasonNoResultCode
	case code != uint64(carobkeel.CodeOK):
		checkRefusal(&result, carobkeel.Code(code), a)
	case share.Class == carobkeel.ClassBatch:
		checkJobResponse(&result, a)
	default:
		checkServiceResponse(&result, sent, a)
	}
	return result
}

// checkRefusal checks that the body has the same result code as the header, and a
// valid statement of whether the request ran.
func checkRefusal(result *Result, code carobkeel.Code, a answer) {
	result.Outcome, result.Code, result.Ran = Refused, code, carobkeel.RanUnknown
	var p problem
	media, _, _ := mime.ParseMediaType(a.header.Get("Content-Type"))
	if media != mediaProblem || json.Unmarshal(a.body, &p) != nil || p.Code != code {
		result.Outcome, result.Reason = Failed, ReasonRanInvalid
		return
	}
	for _, ran := range []carobkeel.Ran{carobkeel.RanNo, carobkeel.RanYes, carobkeel.RanUnknown} {
		if p.Ran == ran.String() {
			result.Ran = ran
			return
		}
	}
	result.Outcome, result.Reason = Failed, ReasonRanInvalid
}

func checkJobResponse(result *Result, a answer) {
	var job struct {
		ID string `json:"id"`
	}
	if a.status != http.StatusAccepted && a.status != http.StatusOK {
		result.Outcome, result.Reason = Failed, ReasonUnexpectedStatus
		return
	}
	if json.Unmarshal(a.body, &job) != nil || job.ID == "" {
		result.Outcome, result.Reason = Failed, ReasonNoJobID
		return
	}
	result.Job = job.ID
}

func checkServiceResponse(result *Result, sent []byte, a answer) {
	if result.Request.Key != "" {
		result.Runs, _ = strconv.Atoi(a.header.Get(headerRuns))
		result.RanTwice = result.Runs > 1
	}
	share := result.Share
	if share.Status > 0 {
		if a.status != share.Status {
			result.Outcome, result.Reason = Failed, ReasonUnexpectedStatus
		}
		return
	}
	if a.status < http.StatusOK || a.status >= http.StatusMultipleChoices {
		result.Outcome, result.Reason = Failed, ReasonUnexpectedStatus
		return
	}
	if share.Size > 0 {
		if len(a.body) != share.Size {
			result.Outcome, result.Reason = Mismatched, ReasonBodyTruncated
		}
		return
	}
	if share.Method != http.MethodHead && !bytes.Equal(a.body, sent) {
		result.Outcome, result.Reason = Mismatched, ReasonBodyDiffers
		if len(a.body) < len(sent) && bytes.HasPrefix(sent, a.body) {
			result.Reason = ReasonBodyTruncated
		}
	}
}
