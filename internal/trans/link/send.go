package link

import (
	"errors"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

// sendBytesPerSecond is the least rate at which a message must be sent. It
// extends the timeout of a large message, which would otherwise be interrupted
// on a slow connection between regions.
const sendBytesPerSecond = 128 << 10

var errQueueFull = errors.New("queue is full")

// queuedMessage is an encoded message that waits to be sent.
type queuedMessage struct {
	addr   string
	method string
	body   wire.Raw
}

// Send queues a call of a method of the daemon at addr and returns without
// waiting for the answer. msg is encoded before Send returns. Send returns an
// error if msg can't be encoded, the queue is full or l is closed; later errors
// are reported to OnLost. Messages to one peer may arrive in another order.
func (l *Links) Send(addr, method string, msg any) error {
	const op = "send"
	body, err := l.encode(op, msg)
	if err != nil {
		return err
	}
	if l.ctx.Err() != nil {
		return newError(op, Closed, errClosed)
	}
	select {
	case l.queue <- queuedMessage{
		addr:   addr,
		method: method,
		body:   body,
	}:
		return nil
	default:
		return newError(op, Full, errQueueFull)
	}
}

// sendQueued sends queued messages until l is closed.
func (l *Links) sendQueued() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.queue:
			timeout := l.cfg.SendTimeout + clock.Second*clock.Milli(len(m.body))/sendBytesPerSecond
			_, err := l.exchange(m.addr, m.method, m.body, timeout)
			if err != nil {
				l.cfg.OnLost(m.addr, m.method, err)
			}
		}
	}
}
