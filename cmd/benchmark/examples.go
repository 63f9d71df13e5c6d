package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table/memory"
)

// exampleRounds is the number of readings that one cost is taken from.
const exampleRounds = 200

// examplesSuite measures what the users' sample catalogues cost to read and to
// accept. It runs from the root of the repository.
func examplesSuite() suite {
	return suite{name: "examples", run: func(ctx context.Context, _ options) ([]figure, error) {
		var figures []figure
		for _, user := range []string{"msaada", "guild"} {
			read, accept, err := exampleCost(ctx, "examples/"+user+".yaml")
			if err != nil {
				return figures, err
			}
			figures = append(figures, measured("read-"+user, read, "us"), measured("accept-"+user, accept, "us"))
		}
		return figures, nil
	}}
}

// exampleCost returns the microseconds that reading and accepting a catalogue
// take, on a table in memory.
func exampleCost(ctx context.Context, path string) (read, accept float64, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read an example")
	}
	start := time.Now()
	for range exampleRounds {
		if _, err := catalogfile.Read(data); err != nil {
			return 0, 0, errors.Wrap(err, path)
		}
	}
	read = float64(time.Since(start).Microseconds()) / exampleRounds
	document, err := catalogfile.Read(data)
	if err != nil {
		return 0, 0, errors.Wrap(err, path)
	}
	start = time.Now()
	for range exampleRounds {
		if err := store.New(store.Config{Table: memory.New()}).Seed(ctx, document, "benchmark"); err != nil {
			return 0, 0, errors.Wrap(err, path)
		}
	}
	return read, float64(time.Since(start).Microseconds()) / exampleRounds, nil
}
