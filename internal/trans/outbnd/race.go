package outbnd

import (
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
)

// race waits for one attempt, or for the first answer of two.
type race struct {
	s      *Server
	c      *call
	first  *try
	second *try
	tried  []string
	// asked delivers what the guard says of the first attempt; nil while
	// nobody is asking.
	asked chan result
	// hedgeAt and askAt are the next instants to act, 0 for never.
	hedgeAt clock.Milli
	askAt   clock.Milli
	pause   clock.Milli
	// overdue says that the first attempt had ended when its guard was asked.
	overdue bool
	// mayHaveRun says that an attempt which is out of the race may have run.
	mayHaveRun bool
}

func (r *race) run() result {
	now := r.s.cfg.Clock.Now()
	usual := r.s.cfg.Routes.HedgeDelay(r.c.op)
	if r.c.op.Hedge && r.first.hop.Ticket == "" && usual > 0 {
		r.hedgeAt = now + usual
	}
	r.pause = max(r.s.cfg.MinQueryDelay, patienceFactor*usual)
	r.askAt = now + r.pause
	for {
		if end, ok := r.step(); ok {
			return r.whole(end)
		}
	}
}

// whole makes the end of one attempt that of the race: not-run only if every
// attempt was.
func (r *race) whole(end result) result {
	if r.mayHaveRun && end.state == reply.NotRun {
		end.state = reply.Unknown
	}
	return end
}

// step waits for the next event and reports whether it ends the race.
func (r *race) step() (result, bool) {
	select {
	case end := <-r.first.done:
		return r.ended(r.first, end)
	case end := <-doneOf(r.second):
		return r.ended(r.second, end)
	case said := <-r.asked:
		r.asked = nil
		return r.told(said)
	case <-r.c.gone():
		return r.giveUp(refuse.Unknown(fasthttp.StatusServiceUnavailable, refuse.Canceled, "The request that this call belongs to was given up.")), true
	case <-r.wake():
		return r.act()
	}
}

func doneOf(t *try) chan result {
	if t == nil {
		return nil
	}
	return t.done
}

func (r *race) wake() <-chan time.Time {
	next := r.c.deadline + grace
	if r.hedgeAt > 0 {
		next = min(next, r.hedgeAt)
	}
	if r.askAt > 0 {
		next = min(next, r.askAt)
	}
	return r.s.cfg.Clock.After(next - r.s.cfg.Clock.Now())
}

// ended handles the result of one of the attempts.
func (r *race) ended(t *try, end result) (result, bool) {
	other := r.first
	if t == r.first {
		other = r.second
	}
	if end.state == reply.Done || other == nil {
		if other != nil {
			r.s.drop(other)
		}
		return end, true
	}
	// The other attempt may still succeed. Only repeatable operations are
	// hedged, so this one may have run.
	r.mayHaveRun = r.mayHaveRun || end.state != reply.NotRun
	r.first, r.second = other, nil
	r.overdue = false
	// A word that is still on its way is about the attempt that ended.
	r.asked = nil
	r.askAt = r.s.cfg.Clock.Now() + r.pause
	return result{}, false
}

// told handles what the guard said of the first attempt.
func (r *race) told(said result) (result, bool) {
	switch said.state {
	case reply.Running, reply.Unknown:
		r.pause *= 2
		r.askAt = r.s.cfg.Clock.Now() + r.pause
		return result{}, false
	case reply.Ended:
		if !r.overdue {
			// The answer may be on its way.
			r.overdue = true
			r.askAt = r.s.cfg.Clock.Now() + r.pause
			return result{}, false
		}
		return r.settled(result{
			state:   reply.Unknown,
			problem: refuse.Unknown(fasthttp.StatusGatewayTimeout, refuse.Lost, "The answer of the target's daemon was lost."),
			target:  r.first.target.Name,
		})
	}
	return r.settled(said)
}

// settled ends the first attempt although its connection says nothing.
func (r *race) settled(said result) (result, bool) {
	r.s.cfg.Metrics.Resolved("silent")
	t := r.first
	t.silent.Store(true)
	r.s.drop(t)
	// Whatever lost track of this connection has likely lost others too.
	r.s.cfg.Pool.CloseIdle()
	if r.second != nil && said.state != reply.Done {
		r.mayHaveRun = r.mayHaveRun || said.state != reply.NotRun
		r.first, r.second = r.second, nil
		r.overdue = false
		return result{}, false
	}
	if r.second != nil {
		r.s.drop(r.second)
	}
	return said, true
}

// act does what has come due.
func (r *race) act() (result, bool) {
	now := r.s.cfg.Clock.Now()
	if now >= r.c.deadline+grace {
		return r.expire(), true
	}
	if r.hedgeAt > 0 && now >= r.hedgeAt {
		r.hedgeAt = 0
		r.hedge(now)
	}
	if r.askAt > 0 && now >= r.askAt {
		r.askAt = 0
		r.ask()
	}
	return result{}, false
}

func (r *race) expire() result {
	return r.giveUp(refuse.Unknown(fasthttp.StatusGatewayTimeout, refuse.Expired, "The deadline passed before the answer came."))
}

// giveUp drops the attempts that are under way.
func (r *race) giveUp(p refuse.Problem) result {
	r.s.drop(r.first)
	if r.second != nil {
		r.s.drop(r.second)
	}
	return result{
		state:   reply.Unknown,
		problem: p,
		target:  r.first.target.Name,
	}
}

// hedge starts a second attempt if units and budget allow it.
func (r *race) hedge(now clock.Milli) {
	if r.second != nil {
		return
	}
	target, refused := r.s.choose(r.c, r.tried)
	if refused != nil {
		return
	}
	if !r.s.cfg.Routes.TakeRetry(now, r.c.caller, r.c.op.Service) || !r.c.spend() {
		return
	}
	second, err := r.s.begin(r.c, target, "")
	if err != nil {
		return
	}
	r.s.cfg.Metrics.Hedges()
	r.second = second
}

// ask asks the guard about the first attempt without holding up the race.
func (r *race) ask() {
	asked := make(chan result, 1)
	t := r.first
	r.asked = asked
	go func() {
		state, resp, ok := r.s.ask(t)
		if !ok {
			asked <- result{
				state: reply.Unknown,
			}
			return
		}
		asked <- r.s.settled(t, state, resp)
	}()
}
