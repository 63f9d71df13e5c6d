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

func TestAnswersCloseTheirConnectionsWhileLeaving(t *testing.T) {
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
	server.Config.ConnState = connections.OnStateChange
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
	connections.WaitClosed(ctx)
	g.Expect(connections.Open()).To(BeZero())
}

func TestWaitBlocksUntilTheLastConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		connections := httpapi.NewConnections()
		var a, b net.Conn
		connections.OnStateChange(a, http.StateNew)
		connections.OnStateChange(b, http.StateNew)
		done := make(chan struct{})
		go func() {
			connections.WaitClosed(context.Background())
			close(done)
		}()
		connections.OnStateChange(a, http.StateActive)
		connections.OnStateChange(a, http.StateIdle)
		connections.OnStateChange(a, http.StateClosed)
		synctest.Wait()
		g.Expect(done).NotTo(BeClosed())
		connections.OnStateChange(b, http.StateClosed)
		synctest.Wait()
		g.Expect(done).To(BeClosed())
	})
}

func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		connections := httpapi.NewConnections()
		connections.OnStateChange(nil, http.StateNew)
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		connections.WaitClosed(ctx)
		g.Expect(time.Since(started)).To(Equal(time.Second))
	})
}
