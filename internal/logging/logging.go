// Package logging creates the loggers of the components. A line begins with the
// time, the level, the name of the component that wrote it and the message.
package logging

import (
	"flag"
	"io"
	"os"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/internal/settings"
)

// Config holds the settings of all loggers of a process.
type Config struct {
	// Level is the minimum level: debug, info, warn or error.
	Level string
	// JSON selects one JSON object per line instead of text.
	JSON bool
}

// RegisterFlags registers the logging flags.
func RegisterFlags(fs *flag.FlagSet) *Config {
	c := &Config{}
	fs.StringVar(&c.Level, "log-level", "info", "least level that is logged: debug, info, warn or error")
	fs.BoolVar(&c.JSON, "log-json", false, "write logs as JSON")
	return c
}

// Check implements settings.Checker.
func (c *Config) Check() []settings.Problem {
	switch c.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return []settings.Problem{{Name: "log-level", Reason: "want debug, info, warn or error, have \"" + c.Level + "\""}}
}

// Factory creates loggers that share one configuration and one destination.
type Factory struct {
	level log.Level
	out   io.Writer
	json  bool
	// closer writes the buffered lines, nil for a factory without a buffer.
	closer io.Closer
}

// NewFactory returns a factory that writes to out.
func NewFactory(c Config, out io.Writer) *Factory {
	return &Factory{level: log.ParseLevel(c.Level), out: out, json: c.JSON}
}

// NewBoundedFactory returns a factory whose loggers never block: lines that exceed
// the buffer of a slow output are dropped, and their number is logged. Close writes
// the buffered lines.
func NewBoundedFactory(c Config, out io.Writer) *Factory {
	bounded := newBoundedOutput(c, out)
	f := NewFactory(c, bounded)
	f.closer = bounded
	return f
}

// Close writes the buffered lines.
func (f *Factory) Close() error {
	if f.closer == nil {
		return nil
	}
	return f.closer.Close()
}

// Default returns a factory that writes text at level info to standard error.
func Default() *Factory { return NewFactory(Config{Level: "info"}, os.Stderr) }

// Discard returns a factory whose loggers write nothing.
func Discard() *Factory { return NewFactory(Config{Level: "error"}, io.Discard) }

// For returns the logger of the named component.
func (f *Factory) For(component string) *log.Logger {
	return &log.Logger{
		Level:   f.level,
		Writer:  f.writer(component),
		Context: log.NewContext(nil).Str(partField, component).Value(),
	}
}

func (f *Factory) writer(component string) log.Writer {
	if f.json {
		return log.IOWriter{Writer: newMessageFirst(f.out, component)}
	}
	return &log.ConsoleWriter{Writer: f.out, Formatter: formatLine}
}

func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, 256)
	line = append(line, args.Time...)
	line = append(line, ' ')
	line = append(line, args.Level...)
	line = append(line, ' ')
	line = append(line, args.Get(partField)...)
	line = append(line, ": "...)
	line = append(line, args.Message...)
	for _, field := range args.KeyValues {
		if field.Key == partField {
			continue
		}
		line = append(line, ' ')
		line = append(line, field.Key...)
		line = append(line, '=')
		line = append(line, field.Value...)
	}
	line = append(line, '\n')
	return w.Write(line)
}
