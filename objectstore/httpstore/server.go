// Package httpstore implements the object store over HTTP: a handler that serves
// any objectstore.Store, and a client that implements objectstore.Store. An
// object is the body of GET, PUT and DELETE on /objects/NAME, with the name
// escaped as one segment; GET /objects?prefix=P lists names as JSON.
package httpstore

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore"
)

// BasePath is the prefix of every path of the store.
const BasePath = "/objects"

// MaxObjectBytes is the maximum size of an object.
const MaxObjectBytes = 256 << 20

// listAnswer is the response body of a list request.
type listAnswer struct {
	Names []string `json:"names"`
}

// NewHandler returns a handler that serves store under BasePath.
func NewHandler(store objectstore.Store) http.Handler {
	s := &server{store: store}
	router := chi.NewRouter()
	router.Get(BasePath, s.list)
	router.Get(BasePath+"/{name}", s.get)
	router.Put(BasePath+"/{name}", s.put)
	router.Delete(BasePath+"/{name}", s.delete)
	return router
}

type server struct {
	store objectstore.Store
}

func objectName(r *http.Request) (string, error) {
	name := chi.URLParam(r, "name")
	if r.URL.RawPath == "" {
		return name, nil // without RawPath the router matched the unescaped path
	}
	name, err := url.PathUnescape(name)
	return name, errors.WithStack(err)
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	names, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the client has disconnected.
	_ = json.NewEncoder(w).Encode(listAnswer{Names: names})
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := s.store.Get(r.Context(), name)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// If the write fails, the client has disconnected.
	_, _ = w.Write(data)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err := s.store.Put(r.Context(), name, data); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) delete(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.store.Delete(r.Context(), name); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, objectstore.ErrNotFound) {
		status = http.StatusNotFound
	}
	http.Error(w, err.Error(), status)
}
