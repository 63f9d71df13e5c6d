package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/objectstore/httpstore"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/httptable"
)

// startStandin runs the command and returns the address that it prints. The
// command is stopped at the end of the test.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan int, 1)
	go func() {
		code := run(ctx, append([]string{"standin-table"}, args...), streams{out: writer, err: io.Discard})
		_ = writer.Close()
		ended <- code
	}()
	t.Cleanup(func() {
		cancel()
		if code := <-ended; code != exitOK {
			t.Errorf("exit code %d", code)
		}
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimPrefix(strings.TrimSpace(line), "ready table=")
}

func TestStandinTableServesTheTableAndTheObjects(t *testing.T) {
	g := NewWithT(t)
	address := startStandin(t)
	objects := httpstore.NewClient(address, nil)
	g.Expect(objects.Put(context.Background(), "a/b", []byte("1"))).To(Succeed())
	g.Expect(objects.List(context.Background(), "a/")).To(Equal([]string{"a/b"}))
	client := httptable.NewClient(address, nil)
	outcome, err := client.Commit(context.Background(), table.Transaction{
		ID:     table.NewTransactionID(),
		Writes: []table.Write{{Key: "k", Value: []byte("1")}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome.Applied).To(BeTrue())
}

func TestStandinTableAcceptsFaultsByFlagAndByRequest(t *testing.T) {
	g := NewWithT(t)
	address := startStandin(t, "-down")
	client := httptable.NewClient(address, nil)
	_, _, err := client.Get(context.Background(), "k")
	g.Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())

	request, err := http.NewRequest(http.MethodPut, "http://"+address+faulty.AdminPath, strings.NewReader(`{}`))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	_, _, err = client.Get(context.Background(), "k")
	g.Expect(err).NotTo(HaveOccurred())
}

func TestStandinTableRejectsAnInvalidProbability(t *testing.T) {
	g := NewWithT(t)
	code := run(context.Background(), []string{"standin-table", "-conflicts", "2"}, streams{out: io.Discard, err: io.Discard})
	g.Expect(code).To(Equal(exitUsage))
}
