// Package server is the sidecar's server for entries: it receives their requests
// over framed links, queues them for a slot, sends them to the upstream and
// returns the answers.
package server

import (
	"flag"
	"time"

	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// Config holds the settings of a sidecar's server.
type Config struct {
	// Slots is the number of requests that the upstream serves at once.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Retention is how long the outcome of a request is kept.
	Retention time.Duration
	// KeyedRetention is how long the outcome of a request with an idempotency
	// key is kept.
	KeyedRetention time.Duration
	// KeptBytes is the total size of the answers that are kept, in bytes.
	KeptBytes int64
	// InlineBytes is the size of the longest answer that is kept, so that it
	// can be sent again over another link. Longer answers are streamed.
	InlineBytes int64
	// Timing holds the time settings of the links.
	Timing link.Config
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Slots:          8,
		Queue:          64,
		Retention:      30 * time.Second,
		KeyedRetention: 10 * time.Minute,
		KeptBytes:      32 << 20,
		InlineBytes:    32 << 10,
		Timing:         link.DefaultConfig(),
	}
}

// RegisterFlags registers a flag for each setting.
func RegisterFlags(fs *flag.FlagSet) *Config {
	c := DefaultConfig()
	fs.IntVar(&c.Slots, "slots", c.Slots, "requests that the upstream serves at once")
	fs.IntVar(&c.Queue, "queue", c.Queue, "requests that may wait for a slot")
	fs.DurationVar(&c.Retention, "retention", c.Retention, "how long the outcome of a request is kept")
	fs.DurationVar(&c.KeyedRetention, "keyed-retention", c.KeyedRetention, "how long the outcome of a request with an idempotency key is kept")
	fs.Int64Var(&c.KeptBytes, "kept-bytes", c.KeptBytes, "bytes of answers that are kept in all")
	fs.Int64Var(&c.InlineBytes, "inline-bytes", c.InlineBytes, "longest answer, in bytes, that is kept to be given again")
	return &c
}

// Check implements settings.Checker.
func (c *Config) Check() []settings.Problem {
	var problems []settings.Problem
	if c.Slots < 1 {
		problems = append(problems, settings.Problem{Name: "slots", Reason: "must be at least 1"})
	}
	if c.Queue < 0 {
		problems = append(problems, settings.Problem{Name: "queue", Reason: "must not be negative"})
	}
	if c.Retention <= 0 {
		problems = append(problems, settings.Problem{Name: "retention", Reason: "must be above 0"})
	}
	if c.KeyedRetention < c.Retention {
		problems = append(problems, settings.Problem{Name: "keyed-retention", Reason: "must be at least -retention"})
	}
	if c.KeptBytes < 0 {
		problems = append(problems, settings.Problem{Name: "kept-bytes", Reason: "must not be negative"})
	}
	if c.InlineBytes < 0 || c.InlineBytes > maxInlineBytes {
		problems = append(problems, settings.Problem{Name: "inline-bytes", Reason: "must be from 0 to 131072"})
	}
	return problems
}

// maxInlineBytes is the maximum of InlineBytes. It ensures that an inline answer
// fits into one frame together with its header.
const maxInlineBytes = 128 << 10
