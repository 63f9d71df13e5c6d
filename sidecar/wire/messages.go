// Package wire defines the messages between an entry and a sidecar and their
// encoding: msgpack payloads in frames. The generated code is committed.
package wire

//go:generate go tool msgp -file messages.go -o messages_gen.go -tests=false

// No list, map or byte string has more items than a frame can have bytes.
//
//msgp:limit arrays:262144 maps:262144

// Version is the protocol version. Processes with different versions refuse each
// other's links.
const Version = 1

// Hello is the first message in each direction of a link.
type Hello struct {
	Version     uint8  `msg:"v"`
	Incarnation uint64 `msg:"i"`
	// Generation numbers the links that one incarnation of an entry opens. A
	// newer link to a sidecar fences the older ones.
	Generation uint64 `msg:"g"`
}

// Field is one HTTP header field. Fields keep the order in which they were received.
type Field struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Open begins a request. Unless the body is included, it follows in Body frames.
type Open struct {
	EntryIncarnation uint64 `msg:"e"`
	Sequence         uint64 `msg:"s"`
	Service          string `msg:"sv"`
	Owner            string `msg:"o"`
	Class            uint8  `msg:"c"`
	// Floor is the share of the slots that is guaranteed to the owner and class in
	// an overload, in thousandths.
	Floor uint16 `msg:"f"`
	// Concurrency is the maximum number of requests of the owner and class that
	// run at once, zero for no limit.
	Concurrency uint32 `msg:"cc"`
	// Queue is the maximum number of requests of the owner and class that wait,
	// zero for no limit, and -1 if none may wait.
	Queue  int32  `msg:"qr"`
	Method string `msg:"m"`
	// Path is the path below the service's name, including the query.
	Path   string  `msg:"p"`
	Header []Field `msg:"h"`
	// TimeoutMicros is the remaining time to the caller's deadline, in
	// microseconds.
	TimeoutMicros int64 `msg:"t"`
	// Idempotent reports that the request may be run twice without harm.
	Idempotent bool `msg:"id"`
	// Key is the caller's idempotency key, empty if there is none.
	Key string `msg:"k"`
	// Digest is the SHA-256 sum of the method, path and body of a request with
	// an idempotency key.
	Digest []byte `msg:"d"`
	// BodyLength is the body's length in bytes, -1 if unknown.
	BodyLength int64 `msg:"bl"`
	// BodyFollows reports that Body frames and a BodyEnd frame follow.
	BodyFollows bool `msg:"bf"`
	// Body is the complete body if BodyFollows is false.
	Body []byte `msg:"b"`
}

// Load is the load that a sidecar reports with each answer.
type Load struct {
	Running uint32 `msg:"r"`
	Queued  uint32 `msg:"q"`
	// UrgentQueued is the number of queued requests that are latency-critical.
	UrgentQueued uint32 `msg:"u"`
	Limit        uint32 `msg:"l"`
}

// Answer begins the upstream's answer. Unless the body is included, it follows in
// AnswerBody frames.
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

// AnswerEnd ends an answer whose body was sent in AnswerBody frames.
type AnswerEnd struct {
	// Length is the body's length in bytes.
	Length int64 `msg:"n"`
	// Checksum is the CRC-32C of the body.
	Checksum uint32 `msg:"c"`
}

// Refused ends a request that has no answer from the upstream.
type Refused struct {
	Code             uint16 `msg:"c"`
	Detail           string `msg:"d"`
	Ran              uint8  `msg:"r"`
	RetryAfterMillis int64  `msg:"a"`
	Load             Load   `msg:"l"`
}

// Credit allows the receiver of this message to send further bytes of a body.
type Credit struct {
	Bytes int64 `msg:"n"`
}

// Query asks for the outcome of a request that was sent on an earlier link. It is
// answered by the request's own Answer or by a Refused.
type Query struct {
	EntryIncarnation uint64 `msg:"e"`
	Sequence         uint64 `msg:"s"`
}
