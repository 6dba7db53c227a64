package fakes

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// Fault is a way in which a [Target] misbehaves towards whoever called it.
type Fault uint8

// Faults of a [Target]. The work is done in all but Refuse and Silent.
const (
	// NoFault answers properly.
	NoFault Fault = iota
	// Interrupted closes the connection in the middle of the answer.
	Interrupted
	// WrongLength announces a longer answer than it sends, then closes.
	WrongLength
	// Late sends the answer after Faults.Delay.
	Late
	// Silent takes the request, does nothing and never answers.
	Silent
	// Refuse answers 503 at once.
	Refuse
	// Crossed answers with the key of another request.
	Crossed
)

// Faults says which fault a [Target] shows and to how many requests.
type Faults struct {
	Fault Fault
	// Share is the part of requests that meet the fault, from 0 to 1.
	Share float64
	// Delay is how late a Late answer is.
	Delay clock.Milli
}

// deliver sends body in the manner of fault.
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
		_, _ = c.Write(raw) // The peer may have gone, which is its own fault.
	})
}

// fall blocks until the peer or the target goes, then drops the connection.
func (t *Target) fall(ctx *fasthttp.RequestCtx) {
	for sock.Peek(ctx.Conn()) != sock.Closed {
		select {
		case <-t.cfg.Clock.After(hangUpCheck):
		case <-t.quit:
			hangUp(ctx)
			return
		}
	}
	hangUp(ctx)
}
