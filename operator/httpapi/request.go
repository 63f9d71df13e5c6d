package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	callerapi "github.com/carobkeel/carobkeel/caller/httpapi"
	"github.com/carobkeel/carobkeel/caller/intake/httpintake"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
)

const (
	// OperatorHeader holds the name of the operator, which the history records.
	OperatorHeader = "Carobkeel-Operator"
	// LastSeenHeader is "true" on a response that holds the last catalogue that
	// the process has seen, because reading the table service failed.
	LastSeenHeader = "Carobkeel-Last-Seen"

	maxOperatorName = 100
	unknownOperator = "unknown"
)

// operatorName returns the operator's name from the request, without control
// characters and cut to maxOperatorName bytes.
func operatorName(r *http.Request) string {
	name := strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return -1
		}
		return c
	}, r.Header.Get(OperatorHeader))
	if name == "" {
		return unknownOperator
	}
	return name[:min(len(name), maxOperatorName)]
}

func editID(r *http.Request) operator.EditID {
	return operator.EditID(r.Header.Get(callerapi.KeyHeader))
}

func isDryRun(r *http.Request) bool {
	dry, err := strconv.ParseBool(r.URL.Query().Get("dry_run"))
	return err == nil && dry
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	content, err := httpintake.Read(w, r, catalogfile.MaxBytes, time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, carobkeel.NewError(carobkeel.CodeBodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if refusal := httpintake.Refusal(err); refusal != nil {
		return nil, refusal
	}
	if err != nil {
		return nil, carobkeel.NewError(carobkeel.CodeInvalidRequest, "the body can't be read: %v", err)
	}
	return content.Bytes(), nil
}

// EntityTag returns the strong entity tag of a state with the given revision.
func EntityTag(revision carobkeel.Revision) string {
	return `"` + strconv.FormatUint(uint64(revision), 10) + `"`
}

// parseTag returns the revision from a strong entity tag.
func parseTag(tag string) (carobkeel.Revision, error) {
	text := strings.TrimSpace(tag)
	if len(text) < 3 || text[0] != '"' || text[len(text)-1] != '"' {
		return 0, carobkeel.NewError(carobkeel.CodeRevisionConflict, "If-Match %s is not an entity tag of the catalogue", tag)
	}
	revision, err := strconv.ParseUint(text[1:len(text)-1], 10, 64)
	if err != nil || revision == 0 {
		return 0, carobkeel.NewError(carobkeel.CodeRevisionConflict, "If-Match %s is not an entity tag of the catalogue", tag)
	}
	return carobkeel.Revision(revision), nil
}

// expectationOf returns the expectation that the request's If-Match or
// If-None-Match header expresses.
func expectationOf(r *http.Request) (operator.Expectation, error) {
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match == "*":
		return operator.ExpectPresent(), nil
	case match != "":
		revision, err := parseTag(match)
		return operator.ExpectRevision(revision), err
	case noneMatch == "*":
		return operator.ExpectAbsent(), nil
	}
	return operator.Expectation{}, carobkeel.NewError(carobkeel.CodeRevisionRequired,
		"send If-Match with the entity tag that was read, or If-None-Match: * for what is new")
}

// baseOf returns the catalogue revision that the request expects, or zero for
// If-Match: *.
func baseOf(r *http.Request) (carobkeel.Revision, error) {
	switch match := r.Header.Get("If-Match"); match {
	case "":
		return 0, carobkeel.NewError(carobkeel.CodeRevisionRequired,
			"send If-Match with the entity tag of the catalogue, or If-Match: * to change it whatever it is")
	case "*":
		return 0, nil
	default:
		return parseTag(match)
	}
}

// queryNumber returns an unsigned integer from the query, or the fallback if it
// is absent. Numbers above the limit are reduced to it.
func queryNumber(r *http.Request, name string, fallback, limit uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, carobkeel.NewError(carobkeel.CodeInvalidRequest, "query %s: %q is not a whole number", name, text)
	}
	return min(number, limit), nil
}
