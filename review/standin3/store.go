package main

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store as it is sent.
type row struct {
	rowID
	Value     []byte `json:"value"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"deleted,omitempty"`
}

// transaction is the body of a write.
type transaction struct {
	Expected []struct {
		rowID
		Version uint64 `json:"ver"`
	} `json:"conditions"`
	Upserts []row   `json:"upserts"`
	Remove  []rowID `json:"remove"`
}

const (
	rowBytes     = 64 << 10
	maxEntries   = 100
	pageRows     = 500
	pageBytes    = 1 << 20
	transactTime = 8 * time.Millisecond
	readTime     = 4 * time.Millisecond
	historyTime  = 20 * time.Second
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	start   time.Time
	rows    map[rowID]row
	version uint64
	// changes are the rows as they were written, the oldest first.
	changes []change
	changed chan struct{}
	// parts serialise the transactions of each part.
	parts sync.Map
}

type change struct {
	row
	at time.Time
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.word("transaction"), s.serveTransaction)
	mux.HandleFunc("GET "+wire.word("get"), s.serveGet)
	mux.HandleFunc("GET "+wire.word("feed"), s.serveFeed)
	return mux
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if wire.decode(io.LimitReader(r.Body, pageBytes), &t) != nil || len(t.Expected)+len(t.Upserts)+len(t.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := ""
	for _, u := range t.Upserts {
		part = u.Part
		if len(u.Value) > rowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	lock, _ := s.parts.LoadOrStore(part, &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	time.Sleep(transactTime)
	current, version, ok := s.apply(&t)
	lock.(*sync.Mutex).Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.respond(w, status, current, version, false)
}

// apply carries a transaction out, or returns the rows that its conditions name.
func (s *store) apply(t *transaction) (current []row, version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, current = true, []row{}
	for _, e := range t.Expected {
		found, has := s.rows[e.rowID]
		if has {
			current = append(current, found)
		}
		ok = ok && found.Version == e.Version
	}
	if !ok {
		return current, s.version, false
	}
	if len(t.Upserts)+len(t.Remove) == 0 {
		return []row{}, s.version, true
	}
	s.version++
	now := time.Now()
	for _, u := range t.Upserts {
		written := row{rowID: u.rowID, Value: u.Value, Version: s.version}
		s.rows[u.rowID] = written
		s.changes = append(s.changes, change{written, now})
	}
	for _, id := range t.Remove {
		delete(s.rows, id)
		s.changes = append(s.changes, change{row{rowID: id, Version: s.version, Tombstone: true}, now})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return []row{}, s.version, true
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.apply(&transaction{Upserts: []row{{rowID: rowID{Table: table, Key: key}, Value: value}}})
}

// read returns a row.
func (s *store) read(id rowID) row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[id]
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	found := []row{}
	for id, candidate := range s.rows {
		in := id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from")
		if target := q.Get("target"); in && (target == "" || id.Key < target) {
			found = append(found, candidate)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, k int) bool { return found[i].Key < found[k].Key })
	size, n := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value) <= pageBytes) {
		size += len(found[n].Value)
		n++
	}
	s.respond(w, http.StatusOK, found[:n], version, n < len(found))
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		found, changed, version, lost := s.changesAfter(q.Get("table"), after)
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			s.respond(w, http.StatusOK, found, version, false)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.respond(w, http.StatusOK, []row{}, version, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after uint64) (found []row, changed chan struct{}, version uint64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyTime {
		s.changes = s.changes[1:]
	}
	if len(s.changes) > 0 && after+1 < s.changes[0].Version || len(s.changes) == 0 && after < s.version {
		return nil, nil, 0, true
	}
	for i := range s.changes {
		if s.changes[i].Version > after && s.changes[i].Table == table {
			found = append(found, s.changes[i].row)
		}
	}
	return found, s.changed, s.version, false
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row, version uint64, truncated bool) {
	writeJSON(w, status, map[string]any{
		"rows": rows, "truncated": truncated, "ver": version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(wire.encode(body))
}
