package outbnd

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/rules"
)

// serveDownstream serves a non-idempotent downstream call of the target beside
// this daemon.
func (s *Server) serveDownstream(ctx *fasthttp.RequestCtx, c *call) {
	if c.key == "" {
		s.refuse(ctx, c, refuse.NotRun(fasthttp.StatusBadRequest, refuse.Malformed, "A call that may not be repeated needs an idempotency key."))
		return
	}
	earlier, err := c.parent.Call(c.callKey())
	if err != nil {
		s.refuse(ctx, c, refuse.NotRun(fasthttp.StatusTooManyRequests, refuse.Full, "The request made too many calls."))
		return
	}
	// A repeated call waits here until the first one ends, and then finds its
	// ticket.
	earlier.Lock()
	defer earlier.Unlock()
	if earlier.Ticket != "" && !earlier.NotRun {
		s.repeatDownstream(ctx, c, earlier)
		return
	}
	if earlier.NotRun && !c.spendUnit() {
		// The previous attempt was proved not-run, so this is an extra one.
		s.writeRefusal(ctx, c, refuse.NotRun(fasthttp.StatusTooManyRequests, refuse.Retries, "No retry units are left to send the call again."))
		return
	}
	s.writeResult(ctx, c, s.runDownstream(c, earlier))
}

// callKey identifies a non-idempotent downstream call within its parent request.
func (c *call) callKey() string { return c.path + " " + c.key }

// repeatDownstream sends a call again on the ticket that was minted for it.
func (s *Server) repeatDownstream(ctx *fasthttp.RequestCtx, c *call, earlier *chain.Call) {
	tk, err := s.cfg.Tickets.Open(earlier.Ticket)
	if err != nil || !c.spendUnit() {
		s.refuse(ctx, c, refuse.Unknown(fasthttp.StatusTooManyRequests, refuse.Retries, "No retry units are left to send the call again."))
		return
	}
	c.id = tk.ID
	res := s.redeemAgain(c, tk, earlier.Ticket)
	if res.state == reply.NotRun {
		earlier.NotRun = true
	}
	s.writeResult(ctx, c, res)
}

// runDownstream makes attempts of a non-idempotent downstream call. Each attempt
// has its own ticket and starts only after the one before was proved not-run.
func (s *Server) runDownstream(c *call, earlier *chain.Call) result {
	var tried []string
	last := result{}
	for {
		target, refused := s.chooseTarget(c, tried)
		if refused != nil {
			if len(tried) == 0 {
				last = *refused
			}
			return last
		}
		last = s.redeemNew(c, earlier, target)
		if last.state != reply.NotRun {
			if last.state == reply.Done && len(tried) == 0 {
				s.cfg.Routes.Succeeded(s.cfg.Clock.Now(), c.caller, c.op.Service)
			}
			return last
		}
		earlier.NotRun = true
		if !last.undelivered {
			tried = append(tried, target.Name)
		}
		if !s.takeRetry(c, last) {
			return last
		}
		s.cfg.Metrics.Retries()
	}
}

// redeemNew mints a ticket for the target and makes one attempt on it. The ticket
// is recorded in earlier before it is sent.
func (s *Server) redeemNew(c *call, earlier *chain.Call, target *rules.Target) result {
	stamp := s.cfg.Routes.Stamp(target.Name)
	if stamp.Incarnation == 0 || c.view.Stale {
		current, ok := s.queryStamp(c, target)
		if !ok {
			return result{
				state:             reply.NotRun,
				problem:           refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Lost, "The daemon beside the target could not be reached."),
				target:            target.Name,
				targetUnavailable: true,
			}
		}
		stamp = current
	}
	c.id = newID()
	tk := s.mintTicket(c, c.id, target, stamp)
	sealed, err := s.cfg.Tickets.Seal(tk)
	if err != nil {
		return sealFailure(err)
	}
	earlier.Ticket = sealed
	earlier.Target = target.Name
	earlier.NotRun = false
	res := s.redeem(c, target, sealed)
	// The ticket was sent only once, and another incarnation of the guard
	// answered that exchange. So the incarnation that the ticket names never
	// received it.
	if res.state == reply.Unknown && res.stamp.Incarnation != 0 && res.stamp.Incarnation != stamp.Incarnation {
		res.state = reply.NotRun
	}
	return s.orSuccessors(c, tk, sealed, res)
}
