package httptable_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/httptable"
	"github.com/carobkeel/carobkeel/table/memory"
)

func TestHTTPTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httptable")
}

// failing answers every commit with its error.
type failing struct {
	table.Table
	err error
}

func (f failing) Commit(context.Context, table.Transaction) (table.Outcome, error) {
	return table.Outcome{}, f.err
}

func serve(handler http.Handler) *httptable.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return httptable.NewClient(server.URL, nil)
}

func set(key, value string, version table.Version) table.Transaction {
	return table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: []byte(value)}},
	}
}

var _ = Describe("the table service over HTTP", func() {
	ctx := context.Background()

	It("commits, reads, ranges and deletes", func() {
		client := serve(httptable.NewHandler(memory.New()))
		outcome, err := client.Commit(ctx, set("a/ü&?", "\x00\xff", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Applied).To(BeTrue())
		row, ok, err := client.Get(ctx, "a/ü&?")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(row).To(Equal(table.Row{Key: "a/ü&?", Value: []byte("\x00\xff"), Version: outcome.Version}))

		_, err = client.Commit(ctx, set("a/z", "1", 0))
		Expect(err).NotTo(HaveOccurred())
		rows, err := client.Range(ctx, "a/", "a/z", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1))

		drop := table.Transaction{ID: table.NewTransactionID(), Writes: []table.Write{{Key: "a/z", Delete: true}}}
		_, err = client.Commit(ctx, drop)
		Expect(err).NotTo(HaveOccurred())
		_, ok, err = client.Get(ctx, "a/z")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
	})

	It("answers a repeat like the first and a conflict with the rows as they are", func() {
		client := serve(httptable.NewHandler(memory.New()))
		txn := set("k", "1", 0)
		first, err := client.Commit(ctx, txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Commit(ctx, txn)).To(Equal(first))
		outcome, err := client.Commit(ctx, set("k", "2", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Applied).To(BeFalse())
		Expect(outcome.Conflicts).To(Equal([]table.Row{{Key: "k", Value: []byte("1"), Version: first.Version}}))
	})

	It("refuses what JSON would change and what the server can't read", func() {
		client := serve(httptable.NewHandler(memory.New()))
		_, err := client.Commit(ctx, set("\xff", "1", 0))
		Expect(errors.Is(err, table.ErrInvalid)).To(BeTrue())
		_, err = client.Range(ctx, "", "", -1)
		Expect(errors.Is(err, table.ErrInvalid)).To(BeTrue())
	})

	It("calls a service that can't be reached unavailable", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		client := httptable.NewClient(listener.Addr().String(), nil)
		Expect(listener.Close()).To(Succeed())
		_, err = client.Commit(ctx, set("k", "1", 0))
		Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
		_, _, err = client.Get(ctx, "k")
		Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
	})

	DescribeTable("a commit that was sent",
		func(handler http.HandlerFunc, want error) {
			_, err := serve(handler).Commit(ctx, set("k", "1", 0))
			Expect(errors.Is(err, want)).To(BeTrue(), "%v", err)
		},
		Entry("is unsettled when the connection ends", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}), table.ErrUnsettled),
		Entry("is unsettled when the answer is torn", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"applied":tr`))
		}), table.ErrUnsettled),
		Entry("is unsettled when something between answers 503", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}), table.ErrUnsettled),
		Entry("is unavailable when the service says so",
			httptable.NewHandler(failing{err: table.ErrUnavailable}).ServeHTTP, table.ErrUnavailable),
		Entry("is unsettled when the service says so",
			httptable.NewHandler(failing{err: table.ErrUnsettled}).ServeHTTP, table.ErrUnsettled),
	)

	It("calls a commit unsettled when the caller stops waiting", func() {
		arrived := make(chan struct{})
		client := serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only then
			close(arrived)
			<-r.Context().Done()
		}))
		waiting, cancel := context.WithCancel(ctx)
		go func() {
			<-arrived
			cancel()
		}()
		_, err := client.Commit(waiting, set("k", "1", 0))
		Expect(errors.Is(err, table.ErrUnsettled)).To(BeTrue())
	})
})
