package outbnd

import (
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/pkg/clock"
)

// race waits for the answer of an attempt and, if it is hedged, of a second one;
// the first answer wins.
type race struct {
	s      *Server
	c      *call
	first  *attempt
	second *attempt
	tried  []string
	// queryResult delivers the result of the status query about the first
	// attempt; it is nil while no query is in flight.
	queryResult chan result
	// hedgeAt and queryAt are the times of the hedge and of the next status
	// query, 0 for never. queryInterval is the delay of the next query.
	hedgeAt       clock.Milli
	queryAt       clock.Milli
	queryInterval clock.Milli
	// endReported is true if a status query found that the first attempt has
	// ended.
	endReported bool
	// mayHaveRun is true if an attempt that has left the race may have run.
	mayHaveRun bool
}

func (r *race) run() result {
	now := r.s.cfg.Clock.Now()
	hedgeDelay := r.s.cfg.Routes.HedgeDelay(r.c.op)
	if r.c.op.Hedge && r.first.hop.Ticket == "" && hedgeDelay > 0 {
		r.hedgeAt = now + hedgeDelay
	}
	r.queryInterval = max(r.s.cfg.MinQueryDelay, queryDelayFactor*hedgeDelay)
	r.queryAt = now + r.queryInterval
	for {
		if res, ok := r.step(); ok {
			return r.combine(res)
		}
	}
}

// combine turns the result of the last attempt into that of the race. The race is
// not-run only if every attempt was.
func (r *race) combine(res result) result {
	if r.mayHaveRun && res.state == reply.NotRun {
		res.state = reply.Unknown
	}
	return res
}

// step waits for the next event and reports whether it ends the race.
func (r *race) step() (result, bool) {
	select {
	case res := <-r.first.done:
		return r.onResult(r.first, res)
	case res := <-doneOf(r.second):
		return r.onResult(r.second, res)
	case res := <-r.queryResult:
		r.queryResult = nil
		return r.onQueryResult(res)
	case <-r.c.cancelled():
		return r.giveUp(refuse.Unknown(fasthttp.StatusServiceUnavailable, refuse.Canceled, "The request that this call belongs to was given up.")), true
	case <-r.timer():
		return r.onTimer()
	}
}

func doneOf(t *attempt) chan result {
	if t == nil {
		return nil
	}
	return t.done
}

func (r *race) timer() <-chan time.Time {
	next := r.c.deadline + answerGrace
	if r.hedgeAt > 0 {
		next = min(next, r.hedgeAt)
	}
	if r.queryAt > 0 {
		next = min(next, r.queryAt)
	}
	return r.s.cfg.Clock.After(next - r.s.cfg.Clock.Now())
}

// onResult handles the result of attempt t and reports whether it ends the race.
func (r *race) onResult(t *attempt, res result) (result, bool) {
	other := r.first
	if t == r.first {
		other = r.second
	}
	if res.state == reply.Done || other == nil {
		if other != nil {
			r.s.abandon(other)
		}
		return res, true
	}
	// The other attempt may still succeed. That is safe even if t has run, since
	// only idempotent operations are hedged.
	r.mayHaveRun = r.mayHaveRun || res.state != reply.NotRun
	r.first, r.second = other, nil
	r.endReported = false
	// A status query still in flight is about t, so its result is ignored.
	r.queryResult = nil
	r.queryAt = r.s.cfg.Clock.Now() + r.queryInterval
	return result{}, false
}

// onQueryResult handles the result of a status query about the first attempt and
// reports whether it ends the race.
func (r *race) onQueryResult(res result) (result, bool) {
	switch res.state {
	case reply.Running, reply.Unknown:
		r.queryInterval *= 2
		r.queryAt = r.s.cfg.Clock.Now() + r.queryInterval
		return result{}, false
	case reply.Ended:
		if !r.endReported {
			// The answer may still be in flight; it is lost if the next query
			// reports the end again.
			r.endReported = true
			r.queryAt = r.s.cfg.Clock.Now() + r.queryInterval
			return result{}, false
		}
		return r.endFirst(result{
			state:   reply.Unknown,
			problem: refuse.Unknown(fasthttp.StatusGatewayTimeout, refuse.Lost, "The answer of the target's daemon was lost."),
			target:  r.first.target.Name,
		})
	}
	return r.endFirst(res)
}

// endFirst ends the first attempt with the result of a status query, without an
// answer on the attempt's own connection, and reports whether that ends the race.
func (r *race) endFirst(res result) (result, bool) {
	r.s.cfg.Metrics.Resolved("silent")
	t := r.first
	t.resolved.Store(true)
	r.s.abandon(t)
	// The fault that made this connection silent has likely hit other idle
	// connections too.
	r.s.cfg.Pool.CloseIdle()
	if r.second != nil && res.state != reply.Done {
		r.mayHaveRun = r.mayHaveRun || res.state != reply.NotRun
		r.first, r.second = r.second, nil
		r.endReported = false
		return result{}, false
	}
	if r.second != nil {
		r.s.abandon(r.second)
	}
	return res, true
}

// onTimer ends the race at the deadline, or starts the hedge or the status query
// that is due.
func (r *race) onTimer() (result, bool) {
	now := r.s.cfg.Clock.Now()
	if now >= r.c.deadline+answerGrace {
		return r.expire(), true
	}
	if r.hedgeAt > 0 && now >= r.hedgeAt {
		r.hedgeAt = 0
		r.hedge(now)
	}
	if r.queryAt > 0 && now >= r.queryAt {
		r.queryAt = 0
		r.startQuery()
	}
	return result{}, false
}

func (r *race) expire() result {
	return r.giveUp(refuse.Unknown(fasthttp.StatusGatewayTimeout, refuse.Expired, "The deadline passed before the answer came."))
}

// giveUp abandons the attempts in flight and returns an unknown outcome with the
// problem p.
func (r *race) giveUp(p refuse.Problem) result {
	r.s.abandon(r.first)
	if r.second != nil {
		r.s.abandon(r.second)
	}
	return result{
		state:   reply.Unknown,
		problem: p,
		target:  r.first.target.Name,
	}
}

// hedge starts a second attempt at another target if the retry ratio and the
// call's retry units allow it.
func (r *race) hedge(now clock.Milli) {
	if r.second != nil {
		return
	}
	target, refused := r.s.chooseTarget(r.c, r.tried)
	if refused != nil {
		return
	}
	if !r.s.cfg.Routes.TakeRetry(now, r.c.caller, r.c.op.Service) || !r.c.spendUnit() {
		return
	}
	second, err := r.s.startAttempt(r.c, target, "")
	if err != nil {
		return
	}
	r.s.cfg.Metrics.Hedges()
	r.second = second
}

// startQuery starts a status query about the first attempt and does not wait for
// its result.
func (r *race) startQuery() {
	ch := make(chan result, 1)
	t := r.first
	r.queryResult = ch
	go func() {
		res := result{
			state: reply.Unknown,
		}
		err := rescue.Run("query of an outcome", func() {
			if state, resp, ok := r.s.queryOutcome(t); ok {
				res = r.s.resultOfQuery(t, state, resp)
			}
		})
		if err != nil {
			event.Contained(r.s.cfg.Log, err)
		}
		ch <- res
	}()
}
