package carobkeel

import "github.com/pkg/errors"

// Class is the urgency of an entry's work.
type Class uint8

// Classes of work, the most urgent first.
const (
	// ClassLatencyCritical marks services that callers wait for.
	ClassLatencyCritical Class = iota
	// ClassBatch marks tasks that run to completion without a waiting caller.
	ClassBatch

	// ClassCount is the number of classes, for arrays indexed by Class.
	ClassCount = 2
)

var classNames = [ClassCount]string{"latency-critical", "batch"}

// String returns the class's name as written in configuration files.
func (c Class) String() string {
	if int(c) >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	if int(c) >= ClassCount {
		return nil, errors.Errorf("class %d is not known", uint8(c))
	}
	return []byte(classNames[c]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, errors.Errorf("class %q is not known, want latency-critical or batch", name)
}
