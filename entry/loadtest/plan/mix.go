package plan

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

const (
	// defaultMethod is the method of shares without one. POST is not idempotent,
	// which makes it the harder case for the system.
	defaultMethod = "POST"
	// ownerUnnamed labels the results of shares without an owner.
	ownerUnnamed carobkeel.Owner = "unnamed"
)

// Share is one kind of request in a mix.
type Share struct {
	// Service is the name of the catalogue entry that the requests go to.
	Service carobkeel.Service
	// Owner and Class label the share's results. A share of class batch submits
	// jobs.
	Owner carobkeel.Owner
	Class carobkeel.Class
	// Weight is the proportion of all requests that the share makes up, relative
	// to the other weights. ParseMix sets 1 if none is given.
	Weight float64
	Method string
	// Delay is how long the sample service waits before it answers.
	Delay time.Duration
	// Status is the HTTP status with which the sample service is to fail, zero
	// for no failure.
	Status int
	// Size is the length in bytes of the body with which the sample service is to
	// respond. At zero, it responds with the request's body.
	Size int
}

// Path returns the path and query of the share's requests.
func (s Share) Path() string {
	if s.Class == carobkeel.ClassBatch {
		return "/jobs/" + url.PathEscape(string(s.Service))
	}
	query := url.Values{}
	if s.Delay > 0 {
		query.Set("delay", s.Delay.String())
	}
	if s.Status > 0 {
		query.Set("fail", strconv.Itoa(s.Status))
	}
	if s.Size > 0 {
		query.Set("size", strconv.Itoa(s.Size))
	}
	path := "/services/" + url.PathEscape(string(s.Service)) + "/"
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return path
}

// Mix is a list of shares. It implements flag.Value.
type Mix []Share

// String implements flag.Value.
func (m *Mix) String() string {
	if m == nil {
		return ""
	}
	names := make([]string, 0, len(*m))
	for _, share := range *m {
		names = append(names, string(share.Service)+":"+strconv.FormatFloat(share.Weight, 'g', -1, 64))
	}
	return strings.Join(names, ",")
}

// Set implements flag.Value.
func (m *Mix) Set(text string) error {
	mix, err := ParseMix(text)
	if err != nil {
		return err
	}
	*m = mix
	return nil
}

// ParseMix parses a comma-separated list of shares of the form
//
//	NAME[:WEIGHT][/owner=O][/class=C][/method=M][/delay=D][/fail=STATUS][/size=BYTES]
func ParseMix(text string) (Mix, error) {
	var mix Mix
	for _, item := range strings.Split(text, ",") {
		share, err := parseShare(strings.TrimSpace(item))
		if err != nil {
			return nil, err
		}
		mix = append(mix, share)
	}
	return mix, nil
}

func parseShare(text string) (Share, error) {
	parts := strings.Split(text, "/")
	name, weight, weighted := strings.Cut(parts[0], ":")
	share := Share{Service: carobkeel.Service(name), Owner: ownerUnnamed, Weight: 1, Method: defaultMethod}
	if name == "" {
		return Share{}, errors.Errorf("share %q has no service", text)
	}
	if weighted {
		parsed, err := strconv.ParseFloat(weight, 64)
		if err != nil || !(parsed > 0) || parsed > maxWeight {
			return Share{}, errors.Errorf("share %q: weight %q is not a number above 0", text, weight)
		}
		share.Weight = parsed
	}
	for _, option := range parts[1:] {
		key, value, _ := strings.Cut(option, "=")
		if err := share.setOption(key, value); err != nil {
			return Share{}, errors.Wrapf(err, "share %q", text)
		}
	}
	return share, nil
}

// maxWeight bounds a weight, so that the sum of weights stays finite.
const maxWeight = 1e9

func (s *Share) setOption(key, value string) error {
	var err error
	switch key {
	case "owner":
		s.Owner = carobkeel.Owner(value)
	case "class":
		s.Class, err = carobkeel.ParseClass(value)
	case "method":
		s.Method = value
	case "delay":
		s.Delay, err = time.ParseDuration(value)
	case "fail":
		s.Status, err = strconv.Atoi(value)
	case "size":
		s.Size, err = strconv.Atoi(value)
	default:
		err = errors.Errorf("unknown option %q", key)
	}
	return err
}
