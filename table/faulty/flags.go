package faulty

import (
	"flag"

	"github.com/carobkeel/carobkeel/internal/settings"
)

// Config is the faults at the start and the seed, as settings of a command.
type Config struct {
	Faults Faults
	Seed   uint64
}

// RegisterFlags registers the flags of the faults.
func RegisterFlags(fs *flag.FlagSet) *Config {
	c := &Config{}
	f := &c.Faults
	fs.Uint64Var(&c.Seed, "fault-seed", 1, "seed of the faults")
	fs.BoolVar(&f.Down, "down", false, "refuse every call")
	fs.DurationVar(&f.Delay, "delay", 0, "time added to every call")
	fs.DurationVar(&f.Jitter, "jitter", 0, "most that is added to -delay")
	fs.Float64Var(&f.LostRequests, "lost-requests", 0, "probability that a commit is lost before its effect")
	fs.Float64Var(&f.LostAnswers, "lost-answers", 0, "probability that an answer is lost after the effect")
	fs.Float64Var(&f.LateEffects, "late-effects", 0, "probability that a commit takes effect after its answer was lost")
	fs.DurationVar(&f.LateBy, "late-by", 0, "how late a late effect is")
	fs.Float64Var(&f.Conflicts, "conflicts", 0, "probability of a competing write before a commit")
	fs.Float64Var(&f.WritesPerSecond, "writes-per-second", 0, "limit of commits; 0 means none")
	fs.Float64Var(&f.ReadsPerSecond, "reads-per-second", 0, "limit of reads; 0 means none")
	return c
}

// Check implements settings.Checker.
func (c *Config) Check() []settings.Problem {
	if err := c.Faults.Check(); err != nil {
		return []settings.Problem{{Name: "faults", Reason: err.Error()}}
	}
	return nil
}
