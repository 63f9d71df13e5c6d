package httpstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore"
	"github.com/carobkeel/carobkeel/objectstore/httpstore"
	"github.com/carobkeel/carobkeel/objectstore/memory"
)

func TestStoresBehaveAlike(t *testing.T) {
	server := httptest.NewServer(httpstore.NewHandler(memory.New()))
	t.Cleanup(server.Close)
	stores := map[string]objectstore.Store{
		"memory": memory.New(),
		"http":   httpstore.NewClient(server.URL, nil),
	}
	for name, store := range stores {
		t.Run(name, func(t *testing.T) { checkStore(NewWithT(t), store) })
	}
}

func checkStore(g *WithT, store objectstore.Store) {
	ctx := context.Background()
	names := []string{"a/1", "a/2%2F?", "a/b c/ü", "b"}
	for _, name := range names {
		g.Expect(store.Put(ctx, name, []byte("old"))).To(Succeed())
		g.Expect(store.Put(ctx, name, []byte("\x00"+name))).To(Succeed())
	}
	for _, name := range names {
		g.Expect(store.Get(ctx, name)).To(Equal([]byte("\x00" + name)))
	}
	g.Expect(store.List(ctx, "a/")).To(Equal(names[:3]))
	g.Expect(store.List(ctx, "none")).To(BeEmpty())
	g.Expect(store.Delete(ctx, "a/1")).To(Succeed())
	g.Expect(store.Delete(ctx, "a/1")).To(Succeed())
	_, err := store.Get(ctx, "a/1")
	g.Expect(errors.Is(err, objectstore.ErrNotFound)).To(BeTrue())
}

func TestFailuresOfTheStoreAreUnavailable(t *testing.T) {
	g := NewWithT(t)
	handlers := []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		func(w http.ResponseWriter, _ *http.Request) { // the body ends early
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("torn"))
		},
	}
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		_, err := httpstore.NewClient(server.URL, nil).Get(context.Background(), "k")
		server.Close()
		g.Expect(errors.Is(err, objectstore.ErrUnavailable)).To(BeTrue(), "%v", err)
	}
}
