package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/measurement"
)

// runInfo is what the records of one run have in common.
type runInfo struct {
	time   time.Time
	commit string
	seed   uint64
}

// record returns the figure as a record of the suite.
func (i runInfo) record(suite string, f figure) measurement.Record {
	return measurement.Record{
		Time: i.time, Commit: i.commit, Seed: i.seed, Suite: suite,
		Name: f.Name, Value: f.Value, Unit: f.Unit, Target: f.targetText(), Verdict: f.Verdict,
	}
}

// writeRecords appends the records to a file of JSON lines.
func writeRecords(path string, records []measurement.Record) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "write the results")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "write the results")
	}
	err = measurement.Write(file, records)
	if closeErr := file.Close(); err == nil {
		err = errors.Wrap(closeErr, "write the results")
	}
	return err
}
