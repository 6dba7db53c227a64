package outbnd

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/rules"
)

// serveDeeper serves a once-only call of the target beside this daemon.
func (s *Server) serveDeeper(ctx *fasthttp.RequestCtx, c *call) {
	if c.key == "" {
		s.refuse(ctx, c, refuse.NotRun(fasthttp.StatusBadRequest, refuse.Malformed, "A call that may not be repeated needs an idempotency key."))
		return
	}
	known, err := c.parent.Call(c.callKey())
	if err != nil {
		s.refuse(ctx, c, refuse.NotRun(fasthttp.StatusTooManyRequests, refuse.Full, "The request made too many calls."))
		return
	}
	// A repetition waits for the first and then finds its ticket.
	known.Lock()
	defer known.Unlock()
	if known.Ticket != "" && !known.NotRun {
		s.repeatDeeper(ctx, c, known)
		return
	}
	if known.NotRun && !c.spend() {
		// The last attempt was proved not-run, and this is one more.
		s.refuseProved(ctx, c, refuse.NotRun(fasthttp.StatusTooManyRequests, refuse.Retries, "No retry units are left to send the call again."))
		return
	}
	s.answer(ctx, c, s.runDeeper(c, known))
}

// callKey identifies a once-only deeper call within its parent.
func (c *call) callKey() string { return c.path + " " + c.key }

// repeatDeeper sends a call again on the ticket that it already has.
func (s *Server) repeatDeeper(ctx *fasthttp.RequestCtx, c *call, known *chain.Call) {
	tk, err := s.cfg.Tickets.Open(known.Ticket)
	if err != nil || !c.spend() {
		s.refuse(ctx, c, refuse.Unknown(fasthttp.StatusTooManyRequests, refuse.Retries, "No retry units are left to send the call again."))
		return
	}
	c.id = tk.ID
	end := s.redeemAgain(c, tk, known.Ticket)
	if end.state == reply.NotRun {
		known.NotRun = true
	}
	s.answer(ctx, c, end)
}

// runDeeper makes attempts of a once-only deeper call, each on a ticket of its
// own and only after the last was proved not-run.
func (s *Server) runDeeper(c *call, known *chain.Call) result {
	var tried []string
	last := result{}
	for {
		target, refused := s.choose(c, tried)
		if refused != nil {
			if len(tried) == 0 {
				last = *refused
			}
			return last
		}
		last = s.redeemNew(c, known, target)
		if last.state != reply.NotRun {
			if last.state == reply.Done && len(tried) == 0 {
				s.cfg.Routes.Succeeded(s.cfg.Clock.Now(), c.caller, c.op.Service)
			}
			return last
		}
		known.NotRun = true
		if !last.silent {
			tried = append(tried, target.Name)
		}
		if !s.takeRetry(c, last) {
			return last
		}
		s.cfg.Metrics.Retries()
	}
}

// redeemNew mints a ticket for the target and makes one attempt on it.
func (s *Server) redeemNew(c *call, known *chain.Call, target *rules.Target) result {
	stamp := s.cfg.Routes.Stamp(target.Name)
	if stamp.Incarnation == 0 || c.view.Stale {
		asked, ok := s.askStamp(c, target)
		if !ok {
			return result{
				state:     reply.NotRun,
				problem:   refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Lost, "The daemon beside the target could not be reached."),
				target:    target.Name,
				elsewhere: true,
			}
		}
		stamp = asked
	}
	c.id = newID()
	tk := s.mint(c, c.id, target, stamp)
	sealed, err := s.cfg.Tickets.Seal(tk)
	if err != nil {
		return sealFailure(err)
	}
	known.Ticket = sealed
	known.Target = target.Name
	known.NotRun = false
	end := s.redeem(c, target, sealed)
	// The ticket was sent once, and another run of the daemon answered on
	// that very exchange: the run that the ticket names never saw it.
	if end.state == reply.Unknown && end.stamp.Incarnation != 0 && end.stamp.Incarnation != stamp.Incarnation {
		end.state = reply.NotRun
	}
	return s.orHeirs(c, tk, sealed, end)
}
