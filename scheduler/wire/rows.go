package wire

//go:generate go tool msgp -file rows.go -o rows_gen.go -tests=false -io=false

//msgp:limit arrays:65536 maps:65536
//msgp:tuple Advice Step TaskProgress DoneRange ImageInterference PairInterference

// HolderRow is the record of the holder of a shard.
type HolderRow struct {
	Epoch uint64 `msg:"e"`
	Host  string `msg:"h"`
	// Incarnation is the incarnation of the holder's process.
	Incarnation uint64 `msg:"i"`
	// Address is the address on which the holder accepts links.
	Address string `msg:"a"`
	// Successions counts the holders in succession, up to this one, that replaced a young
	// one for its silence.
	Successions uint8 `msg:"s,omitempty"`
}

// AuthorityRow is a holder's promise. Its times are in milliseconds on the table service's steady
// clock.
type AuthorityRow struct {
	Epoch uint64 `msg:"e"`
	// Since is when the holder had replaced all earlier ones.
	Since int64 `msg:"s"`
	// Until is when it lets no lease of a worker be extended any more, unless a later promise
	// is stored before.
	Until int64 `msg:"u"`
}

// EntryRow is the record of a running entry process.
type EntryRow struct {
	Host        string `msg:"h"`
	Incarnation uint64 `msg:"i"`
	Address     string `msg:"a"`
}

// WorkerRow is the record of the worker incarnation that receives orders.
type WorkerRow struct {
	Host        string `msg:"h"`
	ID          string `msg:"i"`
	StartedAtMs int64  `msg:"b"`
	// LateLease reports that a late call may have extended its lease, up to the longest one.
	LateLease bool `msg:"l,omitempty"`
	// Ended reports that no run of the incarnation goes on.
	Ended bool `msg:"e,omitempty"`
}

// JobRow is an accepted job.
type JobRow struct {
	Queue       string  `msg:"q"`
	QueueHost   string  `msg:"qh"`
	QueuePrefix string  `msg:"qp"`
	Service     string  `msg:"s"`
	Priority    int     `msg:"p"`
	MaxAttempts int     `msg:"m"`
	Stretch     float64 `msg:"st"`
	// Objective and Period are in milliseconds, First in Unix milliseconds.
	Objective int64   `msg:"ob"`
	Advice    *Advice `msg:"ad"`
	Payload   string  `msg:"pl"`
	Steps     []Step  `msg:"steps"`
	Repeats   int     `msg:"r"`
	First     int64   `msg:"f"`
	Period    int64   `msg:"pe"`
	// ConfigVersion is that of the configuration by which the job was accepted.
	ConfigVersion uint64 `msg:"v"`
}

// Advice is the encoding of a carobkeel.AdvicePolicy. Times are in milliseconds.
type Advice struct {
	Decision int64
	Interval int64
	Validity int64
}

// Step is the encoding of a carobkeel.Step. Times are in milliseconds.
type Step struct {
	Count            int
	MilliCPU         int64
	Memory           int64
	GPUs             int64
	Estimate         int64
	After            []int
	SavesProgress    bool
	Gang             bool
	SameRack         bool
	RequiredLabel    string
	DataRack         string
	MaxPerWorker     int
	AllowsDuplicates bool
	LongRunning      bool
	Image            string
	LatencyTarget    int64
	BestEffort       bool
	MaxUnavailable   int
}

// ProgressRow is the encoding of a dispatch.Progress, or of a part of one that does not fit
// in a row.
type ProgressRow struct {
	State uint8          `msg:"s"`
	Tasks []TaskProgress `msg:"t"`
	// First names the first task of a part. It is empty in the row that has the state.
	First string `msg:"f,omitempty"`
	// DoneUpTo is the number of the first occurrences whose tasks are all done.
	DoneUpTo int `msg:"d,omitempty"`
	// Done holds the ranges of several tasks that are done.
	Done []DoneRange `msg:"r,omitempty"`
}

// DoneRange names Count tasks of a step that are done, in the order of their indexes from First on.
type DoneRange struct {
	Occurrence   int
	Step         int
	First, Count int
}

// TaskProgress is the encoding of a dispatch.TaskProgress.
type TaskProgress struct {
	Occurrence int
	Step       int
	Index      int
	Done       bool
	FailedRuns []int
	Checkpoint string
}

// InterferenceRow holds a holder's measurements of images that share workers.
type InterferenceRow struct {
	Images []ImageInterference `msg:"i"`
}

// ImageInterference is the encoding of an interference.ImageRecord.
type ImageInterference struct {
	Image string
	Idle  float64
	Pairs []PairInterference
}

// PairInterference is the encoding of an interference.PairRecord.
type PairInterference struct {
	BestEffort  string
	Sensitivity float64
	Variance    float64
}
