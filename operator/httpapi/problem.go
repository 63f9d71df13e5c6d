package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	callerapi "github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/operator"
)

// Problem is the body of an error response in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   uint16 `json:"code"`
	Ran    string `json:"ran"`
	// Problems lists all problems of an invalid document.
	Problems operator.Problems `json:"problems,omitempty"`
	// Current is the current state after a revision conflict. It is null if the
	// entry or owner does not exist.
	Current json.RawMessage `json:"current,omitempty"`
}

// codedError returns err as an Error, and the problems of the document if err
// contains any. An error without a code is a failure of this process or of the
// table service.
func codedError(err error) (*carobkeel.Error, operator.Problems) {
	var problems operator.Problems
	if errors.As(err, &problems) {
		return carobkeel.NewError(carobkeel.CodeInvalidEntry, "%d problems; nothing was changed", len(problems)), problems
	}
	var coded *carobkeel.Error
	if errors.As(err, &coded) {
		return coded, nil
	}
	return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err), nil
}

func writeError(w http.ResponseWriter, err error) { writeErrorWith(w, err, nil) }

func writeErrorWith(w http.ResponseWriter, err error, current json.RawMessage) {
	coded, problems := codedError(err)
	body := Problem{
		Type:     "about:blank",
		Title:    coded.Code.Info().Title,
		Status:   callerapi.Status(coded.Code),
		Detail:   coded.Detail,
		Code:     uint16(coded.Code),
		Ran:      coded.Ran.String(),
		Problems: problems,
		Current:  current,
	}
	header := w.Header()
	header.Set(callerapi.ResultHeader, strconv.Itoa(int(coded.Code)))
	if coded.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(coded.RetryAfter.Seconds()))))
	}
	header.Set("Content-Type", "application/problem+json")
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		writeError(w, err)
		return
	}
	writeRaw(w, status, append(data, '\n'))
}

func writeRaw(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
