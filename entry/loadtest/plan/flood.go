package plan

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

// Flood is an overload phase, in which the rate of some shares is multiplied by
// Factor.
type Flood struct {
	At     time.Duration
	For    time.Duration
	Factor float64
	// Service and Owner select the shares. An empty field matches every share.
	Service carobkeel.Service
	Owner   carobkeel.Owner
}

// End returns the end of the flood, from the start of the run.
func (f Flood) End() time.Duration { return f.At + f.For }

func (f Flood) appliesTo(at time.Duration, share Share) bool {
	return at >= f.At && at < f.End() &&
		(f.Service == "" || f.Service == share.Service) &&
		(f.Owner == "" || f.Owner == share.Owner)
}

// Floods is a schedule of floods. It implements flag.Value.
type Floods []Flood

// String implements flag.Value.
func (f *Floods) String() string {
	if f == nil {
		return ""
	}
	texts := make([]string, 0, len(*f))
	for _, flood := range *f {
		text := "at=" + flood.At.String() + ",for=" + flood.For.String() +
			",factor=" + strconv.FormatFloat(flood.Factor, 'g', -1, 64)
		if flood.Service != "" {
			text += ",service=" + string(flood.Service)
		}
		if flood.Owner != "" {
			text += ",owner=" + string(flood.Owner)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ";")
}

// Set implements flag.Value. If the flag is repeated, the floods are added up in one
// schedule.
func (f *Floods) Set(text string) error {
	floods, err := ParseFloods(text)
	if err != nil {
		return err
	}
	*f = append(*f, floods...)
	return nil
}

// ParseFloods parses a list of floods, separated by semicolons, of the form
//
//	at=D,for=D,factor=F[,service=NAME][,owner=NAME]
func ParseFloods(text string) (Floods, error) {
	var floods Floods
	for _, item := range strings.Split(text, ";") {
		flood, err := parseFlood(item)
		if err != nil {
			return nil, errors.Wrapf(err, "flood %q", item)
		}
		floods = append(floods, flood)
	}
	return floods, nil
}

func parseFlood(text string) (Flood, error) {
	var flood Flood
	for _, option := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if err := flood.setOption(key, value); err != nil {
			return Flood{}, err
		}
	}
	if flood.For <= 0 || flood.At < 0 {
		return Flood{}, errors.New("at must not be negative and for must be above 0")
	}
	if !(flood.Factor >= 1) || flood.Factor > maxFactor {
		return Flood{}, errors.Errorf("factor must be from 1 to %d", maxFactor)
	}
	return flood, nil
}

// maxFactor bounds the factor of a flood.
const maxFactor = 1_000_000

func (f *Flood) setOption(key, value string) error {
	var err error
	switch key {
	case "at":
		f.At, err = time.ParseDuration(value)
	case "for":
		f.For, err = time.ParseDuration(value)
	case "factor":
		f.Factor, err = strconv.ParseFloat(value, 64)
	case "service":
		f.Service = carobkeel.Service(value)
	case "owner":
		f.Owner = carobkeel.Owner(value)
	default:
		err = errors.Errorf("unknown option %q", key)
	}
	return err
}
