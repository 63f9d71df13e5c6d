package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/objectstore/httpstore"
	objectmemory "github.com/carobkeel/carobkeel/objectstore/memory"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/httptable"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	// standinShutdownTimeout is how long requests in flight may take to end at
	// shutdown.
	standinShutdownTimeout = 5 * time.Second
	// standinHeaderTimeout is how long a client may take to send its request
	// headers.
	standinHeaderTimeout = 5 * time.Second
)

// standinTableCommand serves the table service and the object store in memory.
func standinTableCommand() command {
	return command{
		name:    "standin-table",
		summary: "serve a table service and an object store in memory, for tests",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("standin-table", io)
			listen := fs.String("listen", "127.0.0.1:0", "address to serve on; port 0 picks a free one")
			faults := faulty.RegisterFlags(fs)
			if code, ok := parse(fs, args, io, faults); !ok {
				return code
			}
			if err := serveStandinTable(ctx, *listen, *faults, io); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}

// serveStandinTable serves until ctx is done.
func serveStandinTable(ctx context.Context, address string, faults faulty.Config, io streams) error {
	handler, err := standinHandler(faults)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fmt.Fprintf(io.out, "ready table=%s\n", listener.Addr())
	select {
	case err := <-failed:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinShutdownTimeout)
	defer cancel()
	return errors.WithStack(server.Shutdown(shutdown))
}

func standinHandler(config faulty.Config) (http.Handler, error) {
	rows := faulty.New(memory.New(), config.Seed, clock.System{})
	if err := rows.Set(config.Faults); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(httptable.BasePath+"/", httptable.NewHandler(rows))
	objects := httpstore.NewHandler(objectmemory.New())
	mux.Handle(httpstore.BasePath, objects)
	mux.Handle(httpstore.BasePath+"/", objects)
	mux.Handle(faulty.AdminPath, faulty.NewAdminHandler(rows))
	return mux, nil
}
