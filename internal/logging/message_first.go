package logging

import (
	"bytes"
	"io"
	"sync"

	"github.com/phuslu/log"
)

// partField is the name of the field that ends the header of a line: time, level and part.
const partField = "part"

var (
	// messageStart begins the message in a line. Quotes within values are escaped, so
	// these bytes never stand within a string.
	messageStart = []byte(`,"` + log.MessageKey + `":"`)
	// messageEnd ends a line whose last field is a string.
	messageEnd = []byte("\"}\n")
)

// messageFirst is a writer of JSON lines that moves the message right behind the header,
// since readers may cut lines off and the logger writes the message last.
type messageFirst struct {
	out io.Writer
	// header is the last field of the header.
	header []byte
	// buffers holds the lines that are being changed, as pointers to byte slices.
	buffers *sync.Pool
}

func newMessageFirst(out io.Writer, part string) messageFirst {
	return messageFirst{
		out:     out,
		header:  []byte(`,"` + partField + `":"` + part + `"`),
		buffers: &sync.Pool{New: func() any { return new([]byte) }},
	}
}

// Write implements io.Writer. Each call must pass one line.
func (w messageFirst) Write(line []byte) (int, error) {
	header := w.headerLength(line)
	message := bytes.LastIndex(line, messageStart)
	if header == 0 || message <= header || !endsWithMessage(line, message) {
		return w.out.Write(line)
	}
	buffer := w.buffers.Get().(*[]byte)
	defer w.buffers.Put(buffer)
	closing := len(line) - len("}\n")
	moved := append((*buffer)[:0], line[:header]...)
	moved = append(moved, line[message:closing]...)
	moved = append(moved, line[header:message]...)
	moved = append(moved, line[closing:]...)
	*buffer = moved
	return w.out.Write(moved)
}

// headerLength returns the length of the line up to the end of its header, zero if it has
// none.
func (w messageFirst) headerLength(line []byte) int {
	start := bytes.Index(line, w.header)
	if start < 0 {
		return 0
	}
	return start + len(w.header)
}

// endsWithMessage reports whether the message that begins at an offset is the last field of
// the line, and not one of an object within it.
func endsWithMessage(line []byte, message int) bool {
	value := line[message+len(messageStart):]
	return firstQuote(value) == len(value)-len(messageEnd) && bytes.HasSuffix(value, messageEnd)
}

// firstQuote returns the offset of the first quote that is not escaped.
func firstQuote(text []byte) int {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}
