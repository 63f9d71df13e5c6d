package runs

import "github.com/carobkeel/carobkeel"

// ProcessNumber numbers the processes of a host's sidecar under one epoch, in the order in which
// they were linked to the holder, which gives the numbers. Zero means that none is known.
type ProcessNumber uint32

const (
	// doubtBits is the part of a generation below the number of the sidecar's process.
	doubtBits      = 20
	generationBits = 32
	// MaxProcessNumber and MaxDoubts are the greatest parts of a generation.
	MaxProcessNumber ProcessNumber = 1<<(generationBits-doubtBits) - 1
	MaxDoubts        uint32        = 1<<doubtBits - 1
)

// Generation numbers the calls to a worker beyond the epoch: by the process of its sidecar and,
// below that, by the doubts of that process. A doubt is an event after which another
// incarnation of the worker may have begun.
type Generation uint32

// NewGeneration returns the generation of the calls of a process after a number of doubts.
func NewGeneration(process ProcessNumber, doubts uint32) Generation {
	return Generation(uint32(min(process, MaxProcessNumber))<<doubtBits | min(doubts, MaxDoubts))
}

// Process returns the number of the process in the generation.
func (g Generation) Process() ProcessNumber { return ProcessNumber(g >> doubtBits) }

// Doubts returns the number of doubts in the generation.
func (g Generation) Doubts() uint32 { return uint32(g) & MaxDoubts }

// Fence orders calls to a worker, by epoch and then by generation. A worker does nothing for
// a call with a lower fence than it has received. An incarnation that has just begun has
// received none.
type Fence struct {
	Epoch      carobkeel.Epoch
	Generation Generation
}

// Less reports whether f is lower than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Generation < other.Generation
}
