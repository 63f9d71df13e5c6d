package jobs

import (
	"math/rand/v2"
	"time"
)

const (
	// calmTime is how long the fleet runs before the first trouble.
	calmTime = 2 * time.Second
	// meanGap is the mean time between two troubles of a stream.
	meanGap = time.Second
)

// trouble is a planned trouble.
type trouble struct {
	At, For time.Duration
	Kind    Kind
	// Draw is the seed of all else that is drawn for it.
	Draw uint64
}

// planStream returns the troubles of a stream in order of time. The same arguments give the
// same troubles.
func planStream(seed uint64, stream int, kinds []Kind, duration time.Duration) []trouble {
	random := rand.New(rand.NewPCG(seed, uint64(stream)))
	var planned []trouble
	at := calmTime
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		t := trouble{At: at, Kind: kinds[random.IntN(len(kinds))], Draw: random.Uint64()}
		s := spans[t.Kind]
		t.For = s.shortest + time.Duration(random.Int64N(int64(s.longest-s.shortest)))
		if at += t.For; at > duration {
			return planned
		}
		planned = append(planned, t)
	}
}
