// Package eventlink carries watermill messages between entries and the
// processes that are linked to them, over framed TCP links. A message goes to
// every process that is linked when it is published; it is not kept for others.
package eventlink

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/entry/wire"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// ErrClosed says that the publisher or subscriber was closed.
var ErrClosed = errors.New("event links are closed")

// hub is what both ends of event links share: the links, and the subscriptions
// that their events go to. Both are immutable lists that are swapped.
type hub struct {
	links         atomic.Pointer[[]*link.Link]
	subscriptions atomic.Pointer[map[string][]*subscription]
	change        sync.Mutex // serializes changes of the two lists
	closed        chan struct{}
	closeOnce     sync.Once
	received      atomic.Int64
	sent          atomic.Int64
}

func newHub() *hub {
	h := &hub{closed: make(chan struct{})}
	h.links.Store(&[]*link.Link{})
	h.subscriptions.Store(&map[string][]*subscription{})
	return h
}

// Publish implements message.Publisher: it sends the messages on every link.
func (h *hub) Publish(topic string, messages ...*message.Message) error {
	select {
	case <-h.closed:
		return ErrClosed
	default:
	}
	for _, m := range messages {
		f, err := wire.EncodeEvent(&wire.Event{Topic: topic, UUID: m.UUID, Metadata: m.Metadata, Payload: m.Payload})
		if err != nil {
			return err
		}
		for _, l := range *h.links.Load() {
			if l.Send(f) {
				h.sent.Add(1)
			}
		}
	}
	return nil
}

// Subscribe implements message.Subscriber. The channel is closed when ctx ends
// or the hub is closed.
func (h *hub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s := &subscription{events: mailbox.New[*wire.Event](), out: make(chan *message.Message)}
	h.addSubscription(topic, s)
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
		h.removeSubscription(topic, s)
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

// run serves one link until it ends.
func (h *hub) run(ctx context.Context, l *link.Link) error {
	h.addLink(l)
	defer h.removeLink(l)
	return l.Run(ctx, h.handle)
}

func (h *hub) handle(f frame.Frame) error {
	event, err := wire.DecodeEvent(f)
	if err != nil {
		return err
	}
	h.received.Add(1)
	for _, s := range (*h.subscriptions.Load())[event.Topic] {
		s.events.Push(event)
	}
	return nil
}

func (h *hub) addLink(l *link.Link) {
	h.change.Lock()
	defer h.change.Unlock()
	next := append(slices.Clone(*h.links.Load()), l)
	h.links.Store(&next)
}

func (h *hub) removeLink(l *link.Link) {
	h.change.Lock()
	defer h.change.Unlock()
	next := slices.DeleteFunc(slices.Clone(*h.links.Load()), func(o *link.Link) bool { return o == l })
	h.links.Store(&next)
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
	h.change.Lock()
	defer h.change.Unlock()
	next := make(map[string][]*subscription)
	for name, list := range *h.subscriptions.Load() {
		next[name] = slices.Clone(list)
	}
	next[topic] = change(next[topic])
	h.subscriptions.Store(&next)
}

// subscription is one subscriber of a topic.
type subscription struct {
	events *mailbox.Mailbox[*wire.Event]
	out    chan *message.Message
}

// deliver hands out events one at a time until ctx ends. An event that the
// subscriber rejects is dropped: a later one takes its place.
func (s *subscription) deliver(ctx context.Context) {
	var batch []*wire.Event
	var err error
	for {
		if batch, err = s.events.Take(ctx, batch[:0]); err != nil {
			return
		}
		for _, event := range batch {
			if !s.hand(ctx, event) {
				return
			}
		}
	}
}

func (s *subscription) hand(ctx context.Context, event *wire.Event) bool {
	m := message.NewMessage(event.UUID, event.Payload)
	if event.Metadata != nil {
		m.Metadata = event.Metadata
	}
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
