package wire

import (
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// kindStartSamePayload marks a start with the payload of the last start before it in the
// same message, which is of the same job.
const kindStartSamePayload = 16

// FromOrder returns the message for an order.
func FromOrder(o dispatch.Order) Order {
	message := Order{
		Incarnation: WorkerIncarnation(o.Incarnation), Kind: uint8(o.Kind), Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint,
		Ticket: o.Ticket, Percent: o.Percent, Acknowledged: o.Acknowledged, Ping: o.Ping,
	}
	if o.Kind != dispatch.OrderAcknowledge {
		message.Task = o.Task.String()
	}
	return message
}

// SplitOrders returns messages that each fit in a frame and together hold the orders, in
// their order.
func SplitOrders(epoch carobkeel.Epoch, orders []Order) []*Orders {
	var messages []*Orders
	size := frame.MaxPayload
	for _, order := range orders {
		if size += order.Msgsize(); size > frame.MaxPayload {
			messages = append(messages, &Orders{Epoch: uint64(epoch)})
			size = messages[len(messages)-1].Msgsize() + order.Msgsize()
		}
		last := messages[len(messages)-1]
		last.Orders = append(last.Orders, order)
	}
	return messages
}

// Decoded returns the order in the message.
func (o *Order) Decoded() (dispatch.Order, error) {
	order := dispatch.Order{
		Incarnation: runs.Incarnation(o.Incarnation), Kind: dispatch.OrderKind(o.Kind), Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint,
		Ticket: o.Ticket, Percent: o.Percent, Acknowledged: o.Acknowledged, Ping: o.Ping,
	}
	if order.Kind == dispatch.OrderAcknowledge {
		return order, nil
	}
	if order.Kind > dispatch.OrderAcknowledge {
		return order, errors.Errorf("unknown kind of order %d", o.Kind)
	}
	var err error
	order.Task, err = carobkeel.ParseTaskName(o.Task)
	return order, err
}

// SharePayloads leaves out each payload that the last start before it in the message has
// too. The tasks of a step that start on one worker have the same payload.
func (m *Orders) SharePayloads() {
	var last *Order
	for i := range m.Orders {
		o := &m.Orders[i]
		if dispatch.OrderKind(o.Kind) != dispatch.OrderStart {
			continue
		}
		if last == nil || o.Payload != last.Payload || jobOf(o.Task) != jobOf(last.Task) {
			last = o
			continue
		}
		o.Kind, o.Payload = kindStartSamePayload, ""
	}
}

// jobOf returns the job in the name of a task, empty if the name is invalid.
func jobOf(task string) carobkeel.JobID {
	name, err := carobkeel.ParseTaskName(task)
	if err != nil {
		return ""
	}
	return name.Job
}

// Decoded returns the orders in the message with their payloads, and the errors of those
// that can't be decoded and are left out.
func (m *Orders) Decoded() (orders []dispatch.Order, leftOut []error) {
	var last *dispatch.Order
	for i := range m.Orders {
		o := m.Orders[i]
		shared := o.Kind == kindStartSamePayload
		if shared {
			o.Kind = uint8(dispatch.OrderStart)
		}
		order, err := o.Decoded()
		if err == nil && shared {
			order.Payload, err = sharedPayload(last, order.Task.Job)
		}
		if err != nil {
			leftOut = append(leftOut, err)
			continue
		}
		orders = append(orders, order)
		if order.Kind == dispatch.OrderStart && !shared {
			last = &order
		}
	}
	return orders, leftOut
}

// sharedPayload returns the payload of the last start if it is of the given job.
func sharedPayload(last *dispatch.Order, job carobkeel.JobID) (string, error) {
	if last == nil || last.Task.Job != job {
		return "", errors.Errorf("no payload for a start of job %s", job)
	}
	return last.Payload, nil
}
