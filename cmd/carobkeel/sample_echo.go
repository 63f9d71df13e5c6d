package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/upstream/echo"
)

// sampleEcho is a running instance of the sample service.
type sampleEcho struct {
	service *echo.Service
	server  *http.Server
	address net.Addr
}

// startSampleEcho starts an instance that listens on the address.
func startSampleEcho(address string, logs *logging.Factory) (*sampleEcho, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &sampleEcho{service: echo.New(), address: listener.Addr()}
	s.server = newHTTPServer(s.service.Handler())
	go serveHTTP(s.server, listener, logs.For("echo"))
	return s, nil
}

// stop reports the instance as draining, keeps serving for the grace period, and
// then waits up to echoDrainTimeout for requests in flight.
func (s *sampleEcho) stop(grace time.Duration) error {
	s.service.Drain()
	timer := time.NewTimer(grace)
	<-timer.C
	ctx, cancel := context.WithTimeout(context.Background(), echoDrainTimeout)
	defer cancel()
	return s.server.Shutdown(ctx)
}

const echoDrainTimeout = 30 * time.Second

// echoConfig is the settings of the sample service.
type echoConfig struct {
	listen string
	grace  time.Duration
}

// Check implements settings.Checker.
func (c *echoConfig) Check() []settings.Problem {
	problems := checkAddress("listen", c.listen)
	if c.grace < 0 {
		problems = append(problems, settings.Problem{Name: "grace", Reason: "must not be negative"})
	}
	return problems
}

// sampleEchoCommand runs an instance of the sample service.
func sampleEchoCommand() command {
	return command{
		name:    "sample-echo",
		summary: "run an instance of the sample service echo",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("sample-echo", io)
			config := &echoConfig{}
			fs.StringVar(&config.listen, "listen", "127.0.0.1:0", "address for requests")
			fs.DurationVar(&config.grace, "grace", 2*time.Second, "time between saying that it shuts down and doing so")
			if code, ok := parse(fs, args, io, config); !ok {
				return code
			}
			sample, err := startSampleEcho(config.listen, logging.Default())
			if err != nil {
				return fail(io, err)
			}
			fmt.Fprintf(io.out, "ready echo=%s\n", sample.address)
			<-ctx.Done()
			if err := sample.stop(config.grace); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}
