// Package client sends requests from an entry to sidecars over framed links. A link
// multiplexes many requests. If a link is lost, the outcomes of its requests are
// queried over a new one.
package client

import (
	"context"
	"flag"
	"net"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/settings"
)

// Config holds the settings of the links to sidecars.
type Config struct {
	// DialTimeout bounds the time to connect to a sidecar.
	DialTimeout time.Duration
	// HeartbeatInterval is the interval of the pings on a link.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a sidecar may send nothing on a link before the
	// link is closed.
	SilenceTimeout time.Duration
	// Attempts is the maximum number of sidecars to which one request is sent.
	Attempts int
	// DataCentre is the entry's data centre.
	DataCentre carobkeel.DataCentre
	// Admission holds the retry and hedging budgets. If it is nil, new ones are
	// created.
	Admission *caller.Admission
	// Dial opens a connection to an address. If it is nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	timing := link.DefaultConfig()
	return Config{
		DialTimeout:       time.Second,
		HeartbeatInterval: timing.HeartbeatInterval,
		SilenceTimeout:    timing.SilenceTimeout,
		Attempts:          3,
	}
}

// RegisterFlags registers the flags of the settings and returns the settings that
// they set.
func RegisterFlags(fs *flag.FlagSet) *Config {
	c := DefaultConfig()
	fs.DurationVar(&c.DialTimeout, "sidecar-dial-timeout", c.DialTimeout, "longest time to connect to a sidecar")
	fs.DurationVar(&c.HeartbeatInterval, "sidecar-heartbeat", c.HeartbeatInterval, "time between two heartbeats on a link to a sidecar")
	fs.DurationVar(&c.SilenceTimeout, "sidecar-silence-timeout", c.SilenceTimeout, "silence after which a link to a sidecar is given up")
	fs.IntVar(&c.Attempts, "sidecar-attempts", c.Attempts, "most sidecars that one request is sent to")
	return &c
}

// Check implements settings.Checker.
func (c *Config) Check() []settings.Problem {
	var problems []settings.Problem
	if c.DialTimeout <= 0 {
		problems = append(problems, settings.Problem{Name: "sidecar-dial-timeout", Reason: "must be above 0"})
	}
	if c.HeartbeatInterval <= 0 {
		problems = append(problems, settings.Problem{Name: "sidecar-heartbeat", Reason: "must be above 0"})
	}
	if c.SilenceTimeout < 2*c.HeartbeatInterval {
		problems = append(problems, settings.Problem{Name: "sidecar-silence-timeout", Reason: "must be at least twice -sidecar-heartbeat"})
	}
	if c.Attempts < 1 {
		problems = append(problems, settings.Problem{Name: "sidecar-attempts", Reason: "must be at least 1"})
	}
	return problems
}

func (c Config) timing() link.Config {
	return link.Config{HeartbeatInterval: c.HeartbeatInterval, SilenceTimeout: c.SilenceTimeout}
}
