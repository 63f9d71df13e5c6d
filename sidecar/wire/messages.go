// Package wire is the encoding of the messages between an entry and a sidecar:
// msgpack payloads in frames. The generated code is committed.
package wire

//go:generate go tool msgp -file messages.go -o messages_gen.go -tests=false

// No list, map or string of bytes is longer than a frame.
//
//msgp:limit arrays:262144 maps:262144

// Version is the version of the protocol. Two processes with different versions
// do not talk to each other.
const Version = 1

// Hello is the first message in each direction of a link.
type Hello struct {
	Version     uint8  `msg:"v"`
	Incarnation uint64 `msg:"i"`
	// Generation numbers the links that one entry start opened to this
	// sidecar. A newer one fences the older ones.
	Generation uint64 `msg:"g"`
}

// Field is one header field of HTTP, in the order it came in.
type Field struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Open begins a request. The body follows in Body frames unless it is here.
type Open struct {
	EntryIncarnation uint64 `msg:"e"`
	Sequence         uint64 `msg:"s"`
	Service          string `msg:"sv"`
	Owner            string `msg:"o"`
	Class            uint8  `msg:"c"`
	// Floor is the share of the slots that the owner and class keeps, in
	// thousandths.
	Floor uint16 `msg:"f"`
	// Concurrency is the most requests of the owner and class that run at
	// once, zero for no limit.
	Concurrency uint32 `msg:"cc"`
	// Queue is the most requests of the owner and class that wait, zero for no
	// limit and -1 for none.
	Queue  int32  `msg:"qr"`
	Method string `msg:"m"`
	// Path is the path below the service's name, with the query.
	Path   string  `msg:"p"`
	Header []Field `msg:"h"`
	// TimeoutMicros is how long the caller still waits, in microseconds.
	TimeoutMicros int64 `msg:"t"`
	// Idempotent says that running the request twice is harmless.
	Idempotent bool `msg:"id"`
	// Key is the caller's idempotency key. It is empty where there is none.
	Key string `msg:"k"`
	// Digest is the SHA-256 sum of method, path and body of a keyed request.
	Digest []byte `msg:"d"`
	// BodyLength is the body's length in bytes, -1 where it is not known.
	BodyLength int64 `msg:"bl"`
	// BodyFollows says that Body frames and a BodyEnd come.
	BodyFollows bool `msg:"bf"`
	// Body is the whole body where BodyFollows is false.
	Body []byte `msg:"b"`
}

// Load is what a sidecar tells of itself with each answer.
type Load struct {
	Running uint32 `msg:"r"`
	Queued  uint32 `msg:"q"`
	// UrgentQueued is how many of those queued are latency-critical.
	UrgentQueued uint32 `msg:"u"`
	Limit        uint32 `msg:"l"`
}

// Answer begins the upstream's answer. The body follows in AnswerBody frames
// unless it is here.
type Answer struct {
	Status      int     `msg:"s"`
	Header      []Field `msg:"h"`
	BodyLength  int64   `msg:"bl"`
	BodyFollows bool    `msg:"bf"`
	Body        []byte  `msg:"b"`
	// WaitMicros is how long the request waited for a slot, in microseconds.
	WaitMicros int64 `msg:"w"`
	Load       Load  `msg:"l"`
}

// AnswerEnd ends an answer whose body came in pieces.
type AnswerEnd struct {
	// Length is the body's length in bytes.
	Length int64 `msg:"n"`
	// Checksum is the CRC-32C of the body.
	Checksum uint32 `msg:"c"`
}

// Refused ends a request without an answer of the upstream.
type Refused struct {
	Code             uint16 `msg:"c"`
	Detail           string `msg:"d"`
	Ran              uint8  `msg:"r"`
	RetryAfterMillis int64  `msg:"a"`
	Load             Load   `msg:"l"`
}

// Credit lets the receiver of the message send further bytes of a body.
type Credit struct {
	Bytes int64 `msg:"n"`
}

// Query asks for the state of a request that was sent on an earlier link. The
// answer is the request's own Answer or a Refused.
type Query struct {
	EntryIncarnation uint64 `msg:"e"`
	Sequence         uint64 `msg:"s"`
}
