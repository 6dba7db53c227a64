package outbnd

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/pkg/header"
)

// retryAfterSeconds is the Retry-After value of every answer with status 503.
const retryAfterSeconds = "1"

// writeProblem writes p as the whole response. A previously set body is
// discarded.
func writeProblem(ctx *fasthttp.RequestCtx, p refuse.Problem) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(refuse.ContentType)
	ctx.Response.Header.Set(header.Outcome, p.Outcome)
	if p.ID != "" {
		ctx.Response.Header.Set(header.ID, p.ID)
	}
	if p.Status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(header.RetryAfter, retryAfterSeconds)
	}
	ctx.SetBody(p.Encode())
}

// writeAnswer copies a target's answer to the response, without the header
// fields that only daemons exchange.
func writeAnswer(ctx *fasthttp.RequestCtx, answer *fasthttp.Response) {
	answer.Header.CopyTo(&ctx.Response.Header)
	h := &ctx.Response.Header
	h.Del(header.Reply)
	h.Del(header.Attempt)
	// Only a daemon may issue a ticket.
	h.Del(header.Ticket)
	h.Del(fasthttp.HeaderConnection)
	ctx.SetBody(answer.Body())
}

// guardProblem decodes the problem in a guard's answer. A body that is no valid
// problem yields one with an unknown outcome.
func guardProblem(resp *fasthttp.Response) refuse.Problem {
	var p refuse.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil || !isFailure(p.Status) {
		return refuse.Unknown(fasthttp.StatusBadGateway, refuse.Lost, "The target's daemon gave no reason.")
	}
	return p
}

// isFailure reports whether status is a 4xx or 5xx code; a problem has no other.
func isFailure(status int) bool {
	const lowest, highest = 400, 599
	return status >= lowest && status <= highest
}

func isTooLarge(err error) bool {
	return errors.Is(err, fasthttp.ErrBodyTooLarge)
}
