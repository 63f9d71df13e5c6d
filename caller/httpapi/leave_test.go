package httpapi_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/balancer"
	"github.com/carobkeel/carobkeel/caller/httpapi"
)

func TestAnswersEndTheirConnectionsWhileLeaving(t *testing.T) {
	g := NewWithT(t)
	readiness := &balancer.Readiness{}
	handler := httpapi.CloseConnections(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}), readiness.AllowsKeepAlive)
	for _, c := range []struct {
		phase balancer.Phase
		sent  string
	}{
		{balancer.PhaseStarting, ""},
		{balancer.PhaseReady, ""},
		{balancer.PhaseLeaving, "close"},
		{balancer.PhaseDraining, "close"},
		{balancer.PhaseStopped, "close"},
	} {
		readiness.Advance(c.phase)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		g.Expect(recorder.Header().Get("Connection")).To(Equal(c.sent), "%s", c.phase)
	}
}

func TestAnswerWhileLeavingClosesAnIdleConnection(t *testing.T) {
	g := NewWithT(t)
	readiness, connections := &balancer.Readiness{}, httpapi.NewConnections()
	readiness.Advance(balancer.PhaseReady)
	server := httptest.NewUnstartedServer(httpapi.CloseConnections(http.NotFoundHandler(), readiness.AllowsKeepAlive))
	server.Config.ConnState = connections.Note
	server.Start()
	defer server.Close()
	for _, c := range []struct {
		phase  balancer.Phase
		closes bool
	}{{balancer.PhaseReady, false}, {balancer.PhaseLeaving, true}} {
		readiness.Advance(c.phase)
		response, err := server.Client().Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(response.Close).To(Equal(c.closes))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	connections.Wait(ctx)
	g.Expect(connections.Open()).To(BeZero())
}

func TestWaitParksUntilTheLastConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		connections := httpapi.NewConnections()
		var a, b net.Conn
		connections.Note(a, http.StateNew)
		connections.Note(b, http.StateNew)
		done := make(chan struct{})
		go func() {
			connections.Wait(context.Background())
			close(done)
		}()
		connections.Note(a, http.StateActive)
		connections.Note(a, http.StateIdle)
		connections.Note(a, http.StateClosed)
		synctest.Wait()
		g.Expect(done).NotTo(BeClosed())
		connections.Note(b, http.StateClosed)
		synctest.Wait()
		g.Expect(done).To(BeClosed())
	})
}

func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		connections := httpapi.NewConnections()
		connections.Note(nil, http.StateNew)
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		connections.Wait(ctx)
		g.Expect(time.Since(started)).To(Equal(time.Second))
	})
}
