package judge

import (
	"slices"
	"strings"

	"github.com/carobkeel/carobkeel"
)

// version is one version of the configuration.
type version struct {
	carobkeel.QueueConfig
	sent Event
	// acknowledged is nil until the store has acknowledged the version.
	acknowledged *Event
}

func (h *history) addOperator(event Event) {
	switch seen := event.Observation.(type) {
	case ConfigurationSent:
		h.versions = append(h.versions, &version{QueueConfig: seen.Config, sent: event})
	case ConfigurationAcknowledged:
		for _, v := range h.versions {
			if v.Version == seen.Version {
				setFirst(&v.acknowledged, event)
			}
		}
	}
}

// queue returns the queue that a target's path leads to, nil if there is none.
func (v *version) queue(target Target) *carobkeel.Queue {
	var longest *carobkeel.Queue
	for i := range v.Queues {
		q := &v.Queues[i]
		if q.Host != target.Host || !strings.HasPrefix(target.Path, q.PathPrefix) {
			continue
		}
		if longest == nil || len(q.PathPrefix) > len(longest.PathPrefix) {
			longest = q
		}
	}
	return longest
}

// queues returns what any version sent so far makes of the job's queue.
func (h *history) queues(j *job) []*carobkeel.Queue {
	var queues []*carobkeel.Queue
	for _, v := range h.versions {
		for _, a := range j.attempts {
			if q := v.queue(a.Target); q != nil && !slices.Contains(queues, q) {
				queues = append(queues, q)
			}
		}
	}
	return queues
}

// services returns the services to which any version sends the job's queue.
func (h *history) services(j *job) []carobkeel.Service {
	var services []carobkeel.Service
	for _, q := range h.queues(j) {
		services = append(services, q.Service)
	}
	return services
}

// attemptLimits returns the smallest and the largest number of failed runs after which a
// task of the job may fail, zero for no limit.
func (h *history) attemptLimits(j *job) (least, most int) {
	unlimited := false
	for i, q := range h.queues(j) {
		if i == 0 || q.MaxAttempts < least {
			least = q.MaxAttempts
		}
		most = max(most, q.MaxAttempts)
		unlimited = unlimited || q.MaxAttempts == 0
	}
	if unlimited {
		return least, 0
	}
	return least, most
}
