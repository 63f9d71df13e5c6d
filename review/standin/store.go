package main

import (
	"context"
	"encoding/base64"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	// readTime and transactionTime are how long the store takes for a call.
	readTime        = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
	// rowBytes bounds the value of a row, and transactionEntries the entries of a
	// transaction.
	rowBytes           = 64 << 10
	transactionEntries = 100
)

// store is a stand-in for the platform's metadata store.
type store struct {
	rows  *memory.Rows
	start time.Time
	// parts holds a lock for each part, whose transactions are done one after another.
	parts sync.Map

	mu sync.Mutex
	// away is open while the store does not answer, nil otherwise.
	away chan struct{}
}

func newStore() *store { return &store{rows: memory.NewRows(), start: time.Now()} }

// setAway makes the store silent, or lets it answer again. Calls that arrive while it is
// silent are not carried out.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away && s.away == nil {
		s.away = make(chan struct{})
	}
	if !away && s.away != nil {
		close(s.away)
		s.away = nil
	}
}

// handler returns the HTTP handler of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.word("transact"), s.transact)
	mux.HandleFunc("GET /carobkeel/rows-get", s.get)
	mux.HandleFunc("GET "+wire.word("feed"), s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away != nil {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type condition struct {
	rowID
	Version uint64 `json:"ver"`
}

type write struct {
	rowID
	Value string `json:"value"`
}

type transaction struct {
	Conditions []condition `json:"conditions"`
	Writes     []write     `json:"upserts"`
	Deletes    []rowID     `json:"remove"`
}

type storedRow struct {
	rowID
	Value   string `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsResponse struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"truncated"`
	Version uint64      `json:"ver"`
	Now     int64       `json:"now_ms"`
}

// decode returns the transaction, and false if it breaks a limit.
func (t *transaction) decode() (table.RowTransaction, bool) {
	var txn table.RowTransaction
	for _, c := range t.Conditions {
		txn.Conditions = append(txn.Conditions, table.RowCondition{RowID: table.RowID(c.rowID), Version: table.Version(c.Version)})
	}
	for _, w := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil || len(value) > rowBytes {
			return txn, false
		}
		txn.Writes = append(txn.Writes, table.RowWrite{RowID: table.RowID(w.rowID), Value: value})
	}
	for _, id := range t.Deletes {
		txn.Writes = append(txn.Writes, table.RowWrite{RowID: table.RowID(id), Delete: true})
	}
	return txn, len(txn.Conditions)+len(txn.Writes) <= transactionEntries && len(txn.Writes) > 0
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if wire.decode(r.Body, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	txn, ok := body.decode()
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lock, _ := s.parts.LoadOrStore(txn.Writes[0].Part, &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	time.Sleep(transactionTime)
	outcome, err := s.rows.Transact(context.Background(), txn)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !outcome.Applied {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	s.respond(w, outcome.Current, outcome.Version, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	scan, err := s.rows.Scan(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && limit < len(scan.Rows) {
		scan.Rows, scan.More = scan.Rows[:limit], true
	}
	s.respond(w, scan.Rows, scan.Version, scan.More)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	changes, err := s.rows.Follow(r.Context(), q.Get("table"), table.Version(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.respond(w, changes.Rows, changes.Next, false)
}

func (s *store) respond(w http.ResponseWriter, rows []table.VersionedRow, version table.Version, more bool) {
	response := rowsResponse{Rows: []storedRow{}, More: more, Version: uint64(version), Now: time.Since(s.start).Milliseconds()}
	for _, row := range rows {
		response.Rows = append(response.Rows, storedRow{
			rowID: rowID(row.RowID), Value: base64.StdEncoding.EncodeToString(row.Value),
			Version: uint64(row.Version), Deleted: row.Deleted,
		})
	}
	data, _ := wire.encode(response)
	_, _ = w.Write(data) // fails only if the caller has gone
}

// put writes a row, as the operator does.
func (s *store) put(tableName, key string, value any) error {
	data, err := wire.encode(value)
	if err != nil {
		return err
	}
	_, err = s.rows.Transact(context.Background(), table.RowTransaction{
		Writes: []table.RowWrite{{RowID: table.RowID{Table: tableName, Key: key}, Value: data}},
	})
	return err
}
