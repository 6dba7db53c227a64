package fakes

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// Fault is a way in which a [Target] answers wrongly or not at all.
type Fault uint8

// Faults of a [Target]. With all but Refuse and Silent, the target runs the
// request.
const (
	// NoFault answers correctly.
	NoFault Fault = iota
	// Interrupted closes the connection in the middle of the answer.
	Interrupted
	// WrongLength announces twice the length of the body that it sends, then closes
	// the connection.
	WrongLength
	// Late delays the answer by Faults.Delay.
	Late
	// Silent reads the request, does not run it and never answers.
	Silent
	// Refuse answers 503 at once.
	Refuse
	// Crossed sends an answer that carries the key and attempt of another request.
	Crossed
)

// Faults selects the fault of a [Target] and the requests that it affects.
type Faults struct {
	Fault Fault
	// Share is the fraction of requests affected, from 0 to 1, chosen at random.
	Share float64
	// Delay is the delay of answers with fault Late.
	Delay clock.Milli
}

// deliver sends body, incomplete if fault says so.
func (t *Target) deliver(ctx *fasthttp.RequestCtx, fault Fault, body []byte) {
	announced := len(body)
	switch fault {
	case Interrupted:
		body = body[:len(body)/2]
	case WrongLength:
		announced += len(body)
	default:
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", announced)
	raw := append([]byte(head), body...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write(raw) // The peer may have disconnected.
	})
}

// holdUntilClosed leaves the request without an answer until the peer closes
// the connection or the target stops, then closes the connection.
func (t *Target) holdUntilClosed(ctx *fasthttp.RequestCtx) {
	for sock.Peek(ctx.Conn()) != sock.Closed {
		select {
		case <-t.cfg.Clock.After(disconnectCheck):
		case <-t.quit:
			closeWithoutAnswer(ctx)
			return
		}
	}
	closeWithoutAnswer(ctx)
}
