package httpapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// ExplainPath is the path of explanations. The name of a queue, or of an entry of the catalogue,
// follows it.
const ExplainPath = "/v1/explain/"

const (
	// maxExplainBytes bounds the body of a question.
	maxExplainBytes = 64 << 10
	// explainTimeout bounds the time for an answer.
	explainTimeout = 2 * time.Second
)

// Explainer says where a job of a queue or an entry would go, without submitting it. The body is
// that of its submission.
type Explainer interface {
	Explain(ctx context.Context, name string, body []byte) (operator.Explanation, error)
}

// explainHandler serves explanations, one at a time: each takes time of the scheduler.
type explainHandler struct {
	explainer Explainer
	busy      atomic.Bool
}

// NewExplainHandler returns the handler of POST requests under ExplainPath.
func NewExplainHandler(explainer Explainer) http.Handler {
	return &explainHandler{explainer: explainer}
}

// ServeHTTP implements http.Handler.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	if err != nil {
		writeError(w, carobkeel.NewError(carobkeel.CodeInvalidRequest, "body: %v", err))
		return
	}
	if !h.busy.CompareAndSwap(false, true) {
		writeError(w, carobkeel.NewError(carobkeel.CodeOverloaded, "another explanation is under way").WithRetryAfter(time.Second))
		return
	}
	defer h.busy.Store(false)
	explanation, err := h.explainer.Explain(ctx, strings.TrimPrefix(r.URL.Path, ExplainPath), body)
	var elsewhere *operator.ElsewhereError
	switch {
	case errors.As(err, &elsewhere):
		w.Header().Set("Location", "http://"+elsewhere.Address+r.URL.EscapedPath())
		w.WriteHeader(http.StatusTemporaryRedirect)
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, explanation)
	}
}
