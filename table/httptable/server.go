package httptable

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// NewHandler returns a handler that serves t under BasePath.
func NewHandler(t table.Table) http.Handler {
	s := &server{table: t}
	router := chi.NewRouter()
	router.Route(BasePath, func(r chi.Router) {
		r.Get(rowPath, s.get)
		r.Get(rowsPath, s.rangeRows)
		r.Post(transactionsPath, s.commit)
	})
	return router
}

type server struct {
	table table.Table
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	row, ok, err := s.table.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeFailure(w, err)
		return
	}
	var answer getAnswer
	if ok {
		m := encodeRow(row)
		answer.Row = &m
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *server) rangeRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 0 {
		writeInvalid(w, errors.Errorf("limit %q is not a count", query.Get("limit")))
		return
	}
	rows, err := s.table.Range(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, rangeAnswer{Rows: encodeRows(rows)})
}

func (s *server) commit(w http.ResponseWriter, r *http.Request) {
	var m transactionMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&m); err != nil {
		writeInvalid(w, err)
		return
	}
	txn, err := decodeTransaction(m)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	outcome, err := s.table.Commit(r.Context(), txn)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, encodeOutcome(outcome))
}

func writeInvalid(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, failureMessage{Kind: failureInvalid, Detail: err.Error()})
}

// writeFailure sends the failure kind of the error. For an unknown kind of error
// the effect is not known, so it is sent as unsettled.
func writeFailure(w http.ResponseWriter, err error) {
	if errors.Is(err, table.ErrUnavailable) {
		writeJSON(w, http.StatusServiceUnavailable, failureMessage{Kind: failureUnavailable, Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusGatewayTimeout, failureMessage{Kind: failureUnsettled, Detail: err.Error()})
}

// writeJSON sends the status and the message. If the write fails, the
// client has disconnected and determines the outcome of the request itself.
func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
