// Package eventlink carries watermill messages between entries and the
// processes that are linked to them, over framed TCP links. A message is sent to
// the processes that are linked when it is published; it is not kept for later
// ones.
package eventlink

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// Metadata of messages.
const (
	// MetadataTo holds the names of the links that a message is published on,
	// separated by commas. Without it the message is sent on every link.
	MetadataTo = "to"
	// MetadataPeer is the name of the link on which a message was received.
	// The process never uses the name of a link again.
	MetadataPeer = "peer"
	// MetadataTopic is the topic of a received message.
	MetadataTopic = "topic"
	// MetadataState is StateUp or StateDown in a message of TopicLink.
	MetadataState = "state"
)

// TopicLink carries a message for each link that comes up or is lost. It is
// delivered only in this process.
const TopicLink = "link"

// States of a link in a message of TopicLink.
const (
	StateUp   = "up"
	StateDown = "down"
)

const listSeparator = ","

// Topics returns a topic for Subscribe that delivers the messages of several
// topics in the order of their arrival.
func Topics(names ...string) string { return strings.Join(names, listSeparator) }

// Recipients returns the value of MetadataTo for a message to the named links.
func Recipients(peers ...string) string { return strings.Join(peers, listSeparator) }

// ErrClosed is returned after the publisher or subscriber was closed.
var ErrClosed = errors.New("event links are closed")

// hub holds what both ends of event links have in common: the links, and the
// subscriptions that receive their events. Both are immutable maps that are
// replaced on a change (read-copy-update).
type hub struct {
	prefix        string
	lastLink      atomic.Uint64 // number of the last link
	links         atomic.Pointer[map[string]*link.Link]
	subscriptions atomic.Pointer[map[string][]*subscription]
	changeMu      sync.Mutex // serializes changes of the two maps
	closed        chan struct{}
	closeOnce     sync.Once
	received      atomic.Int64
	sent          atomic.Int64
}

// newHub returns a hub that names its links with the prefix.
func newHub(prefix string) *hub {
	h := &hub{prefix: prefix, closed: make(chan struct{})}
	h.links.Store(&map[string]*link.Link{})
	h.subscriptions.Store(&map[string][]*subscription{})
	return h
}

// Publish implements message.Publisher: it sends the messages on every link, or
// on those named by MetadataTo. A link that has ended is skipped.
func (h *hub) Publish(topic string, messages ...*message.Message) error {
	select {
	case <-h.closed:
		return ErrClosed
	default:
	}
	for _, m := range messages {
		f, err := wire.EncodeEvent(&wire.Event{Topic: topic, UUID: m.UUID, Payload: m.Payload})
		if err != nil {
			return err
		}
		h.send(f, m.Metadata.Get(MetadataTo))
	}
	return nil
}

func (h *hub) send(f frame.Frame, to string) {
	links := *h.links.Load()
	if to == "" {
		for _, l := range links {
			h.sendOn(l, f)
		}
		return
	}
	for name := range strings.SplitSeq(to, listSeparator) {
		if l, ok := links[name]; ok {
			h.sendOn(l, f)
		}
	}
}

func (h *hub) sendOn(l *link.Link, f frame.Frame) {
	if l.Send(f) {
		h.sent.Add(1)
	}
}

// Subscribe implements message.Subscriber. The topic may be one that Topics
// returns. The channel is closed when ctx ends or the hub is closed.
func (h *hub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s := &subscription{events: mailbox.New[*wire.Event](), out: make(chan *message.Message)}
	names := strings.Split(topic, listSeparator)
	for _, name := range names {
		h.addSubscription(name, s)
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-h.closed:
		}
	}()
	go func() {
		defer close(s.out)
		s.deliver(ctx)
		for _, name := range names {
			h.removeSubscription(name, s)
		}
	}()
	return s.out, nil
}

// Close implements message.Publisher and message.Subscriber.
func (h *hub) Close() error {
	h.closeOnce.Do(func() { close(h.closed) })
	for _, l := range *h.links.Load() {
		l.Close()
	}
	return nil
}

// Links returns the number of links.
func (h *hub) Links() int { return len(*h.links.Load()) }

// Received returns the number of events that arrived.
func (h *hub) Received() int64 { return h.received.Load() }

// run serves one link until it ends. It calls onUp when messages can be sent on
// the link.
func (h *hub) run(ctx context.Context, l *link.Link, onUp func()) error {
	name := h.addLink(l)
	defer h.removeLink(name)
	onUp()
	return l.Run(ctx, func(f frame.Frame) error { return h.handle(name, f) })
}

func (h *hub) handle(peer string, f frame.Frame) error {
	event, err := wire.DecodeEvent(f)
	if err != nil {
		return err
	}
	h.received.Add(1)
	event.Metadata = map[string]string{MetadataPeer: peer}
	h.dispatch(event)
	return nil
}

func (h *hub) dispatch(event *wire.Event) {
	for _, s := range (*h.subscriptions.Load())[event.Topic] {
		s.events.Push(event)
	}
}

func (h *hub) addLink(l *link.Link) string {
	h.changeMu.Lock()
	defer h.changeMu.Unlock()
	name := h.prefix + strconv.FormatUint(h.lastLink.Add(1), 10)
	next := maps.Clone(*h.links.Load())
	next[name] = l
	h.links.Store(&next)
	h.dispatchLink(name, StateUp)
	return name
}

func (h *hub) removeLink(name string) {
	h.changeMu.Lock()
	defer h.changeMu.Unlock()
	next := maps.Clone(*h.links.Load())
	delete(next, name)
	h.links.Store(&next)
	h.dispatchLink(name, StateDown)
}

func (h *hub) dispatchLink(name, state string) {
	h.dispatch(&wire.Event{Topic: TopicLink, Metadata: map[string]string{MetadataPeer: name, MetadataState: state}})
}

func (h *hub) addSubscription(topic string, s *subscription) {
	h.changeSubscriptions(topic, func(old []*subscription) []*subscription { return append(old, s) })
}

func (h *hub) removeSubscription(topic string, s *subscription) {
	h.changeSubscriptions(topic, func(old []*subscription) []*subscription {
		return slices.DeleteFunc(old, func(o *subscription) bool { return o == s })
	})
}

func (h *hub) changeSubscriptions(topic string, change func([]*subscription) []*subscription) {
	h.changeMu.Lock()
	defer h.changeMu.Unlock()
	next := make(map[string][]*subscription)
	for name, list := range *h.subscriptions.Load() {
		next[name] = slices.Clone(list)
	}
	next[topic] = change(next[topic])
	h.subscriptions.Store(&next)
}

// subscription is one call of Subscribe, for one or several topics.
type subscription struct {
	events *mailbox.Mailbox[*wire.Event]
	out    chan *message.Message
}

// deliver passes events to the subscriber one at a time until ctx ends. An event
// that the subscriber rejects is not delivered again, as a later one replaces it.
func (s *subscription) deliver(ctx context.Context) {
	var batch []*wire.Event
	var err error
	for {
		if batch, err = s.events.Take(ctx, batch[:0]); err != nil {
			return
		}
		for _, event := range batch {
			if !s.deliverOne(ctx, event) {
				return
			}
		}
	}
}

func (s *subscription) deliverOne(ctx context.Context, event *wire.Event) bool {
	m := message.NewMessage(event.UUID, event.Payload)
	// The metadata is copied, as several subscribers share the event and each
	// may change its message.
	m.Metadata = maps.Clone(event.Metadata)
	m.Metadata.Set(MetadataTopic, event.Topic)
	m.SetContext(ctx)
	select {
	case s.out <- m:
	case <-ctx.Done():
		return false
	}
	select {
	case <-m.Acked():
	case <-m.Nacked():
	case <-ctx.Done():
		return false
	}
	return true
}
