package faulty

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// AdminPath is the path of the admin handler.
const AdminPath = "/faults"

// NewAdminHandler returns a handler that reads the faults with GET and replaces
// them with PUT, as JSON. Times are in nanoseconds.
func NewAdminHandler(t *Table) http.Handler {
	router := chi.NewRouter()
	router.Get(AdminPath, func(w http.ResponseWriter, _ *http.Request) { writeFaults(w, t.Faults()) })
	router.Put(AdminPath, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := t.Set(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeFaults(w, f)
	})
	return router
}

// writeFaults sends f. If the write fails, the client has disconnected.
func writeFaults(w http.ResponseWriter, f Faults) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f)
}
