package link

import (
	"errors"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

// sendBytesPerSecond is the number of bytes of a message for which its sender waits
// another second. A slow link between regions must not cut a large message.
const sendBytesPerSecond = 128 << 10

var errQueueFull = errors.New("queue is full")

// queuedMessage waits to be sent.
type queuedMessage struct {
	addr   string
	method string
	body   wire.Raw
}

// Send calls method of the daemon at addr without waiting for its answer. msg
// is encoded before Send returns. It returns an error if the queue is full;
// what goes wrong later goes to OnLost. Messages to one peer may overtake each
// other.
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

// sendQueued sends messages until the links are closed.
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
