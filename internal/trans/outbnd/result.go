package outbnd

import (
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// result is how an attempt, or a whole call, ended.
type result struct {
	state reply.State
	// answer is the target's answer if state is Done. Whoever holds the result
	// owns it.
	answer *fasthttp.Response
	// problem says what to tell the caller without an answer.
	problem refuse.Problem
	target  string
	// elsewhere tells that this target was out of reach or leaving rather than
	// loaded: an attempt at another one adds no load beyond the first.
	elsewhere bool
	// silent tells that the attempt never arrived although its connection was
	// open: the target itself may be well and can be tried again.
	silent bool
	// proved tells that the state is the word of the daemon that guards the
	// target, not only of this one.
	proved bool
	// stamp is the guard's, if it answered on the attempt's own exchange.
	stamp ticket.Stamp
}

func (r result) outcome() string { return r.state.Outcome() }

// read judges what came back for an attempt.
func (s *Server) read(t *try, resp *fasthttp.Response, err error) result {
	now := s.cfg.Clock.Now()
	if err != nil {
		return s.readFailure(t, now, err)
	}
	r, problem := readReply(resp, t.hop.Attempt)
	if problem != nil {
		// What arrived is not a whole answer to this attempt, and the
		// connection it came on is of no further use.
		s.cfg.Routes.Finished(now, t.c.op, t.flight, pick.Failed)
		return s.settle(t, *problem)
	}
	s.cfg.Routes.Learn(now, t.c.op, t.target.Name, reportOf(r))
	t.takeBack(r.RetryUnits)
	return s.judge(t, now, resp, r)
}

// judge turns a guard's reply into a result.
func (s *Server) judge(t *try, now clock.Milli, resp *fasthttp.Response, r reply.Reply) result {
	if r.State == reply.Done {
		s.cfg.Routes.Finished(now, t.c.op, t.flight, pick.Done)
		return result{
			state:  reply.Done,
			answer: resp,
			target: t.target.Name,
		}
	}
	outcome := pick.Failed
	if r.State == reply.NotRun {
		outcome = pick.Refused
	}
	s.cfg.Routes.Finished(now, t.c.op, t.flight, outcome)
	p := passOn(resp)
	return result{
		state:     r.State,
		problem:   p,
		target:    t.target.Name,
		stamp:     r.Stamp,
		proved:    true,
		elsewhere: p.Reason == refuse.Leaving,
	}
}

// readFailure judges an exchange without an answer.
func (s *Server) readFailure(t *try, now clock.Milli, err error) result {
	outcome := pick.Failed
	if t.silent.Load() {
		outcome = pick.Canceled
	}
	s.cfg.Routes.Finished(now, t.c.op, t.flight, outcome)
	var failure *pool.Error
	if errors.As(err, &failure) && failure.Kind == pool.Unsent {
		t.takeBack(t.hop.RetryUnits)
		return result{
			state:     reply.NotRun,
			problem:   refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Lost, "The daemon beside the target could not be reached."),
			target:    t.target.Name,
			elsewhere: true,
		}
	}
	if t.silent.Load() {
		return result{
			state: reply.Unknown,
		}
	}
	return s.settle(t, refuse.Unknown(fasthttp.StatusGatewayTimeout, refuse.Lost, "The answer of the target's daemon was lost."))
}

// settle asks the guard on a new connection what became of an attempt whose
// answer was lost. The question fences an attempt that has not arrived. Units
// lent to the attempt stay spent. The guard keeps the answer of an attempt on a
// ticket, so one that still runs is asked about until it has ended.
func (s *Server) settle(t *try, lost refuse.Problem) result {
	r, resp, ok := s.ask(t)
	for ok && r.State == reply.Running && t.hop.Ticket != "" && s.cfg.Clock.Now()+settleStep < t.c.deadline {
		fasthttp.ReleaseResponse(resp)
		<-s.cfg.Clock.After(settleStep)
		r, resp, ok = s.ask(t)
	}
	if !ok || r.State == reply.Running {
		s.cfg.Metrics.Resolved("lost")
		return result{
			state:   reply.Unknown,
			problem: lost,
			target:  t.target.Name,
		}
	}
	s.cfg.Metrics.Resolved(string(r.State))
	return s.settled(t, r, resp)
}

// settled turns the guard's answer to a question into a result.
func (s *Server) settled(t *try, r reply.Reply, resp *fasthttp.Response) result {
	if r.State == reply.Done {
		return result{
			state:  reply.Done,
			answer: resp,
			target: t.target.Name,
		}
	}
	if r.State == reply.NotRun {
		// The attempt is proved not to have arrived, so nothing was spent.
		t.takeBack(t.hop.RetryUnits)
	}
	p := passOn(resp)
	fasthttp.ReleaseResponse(resp)
	return result{
		state:     r.State,
		problem:   p,
		target:    t.target.Name,
		proved:    true,
		elsewhere: true,
		silent:    r.State == reply.NotRun,
	}
}

// readReply checks that an answer is whole and belongs to the attempt.
func readReply(resp *fasthttp.Response, attempt string) (reply.Reply, *refuse.Problem) {
	r, err := reply.Parse(string(resp.Header.Peek(header.Reply)))
	if err != nil {
		return r, problem(refuse.Unknown(fasthttp.StatusBadGateway, refuse.Partial, "The answer did not come from a daemon.").WithDetail(err.Error()))
	}
	if r.Attempt != attempt {
		return r, problem(refuse.Unknown(fasthttp.StatusBadGateway, refuse.Partial, "The answer belongs to another attempt."))
	}
	if r.Digest != AnswerDigest(resp.StatusCode(), resp.Body()) {
		return r, problem(refuse.Unknown(fasthttp.StatusBadGateway, refuse.Partial, "The answer is not whole."))
	}
	return r, nil
}

// AnswerDigest sums up an answer's status and body.
func AnswerDigest(status int, body []byte) uint64 {
	d := xxhash.NewWithSeed(uint64(status))
	_, _ = d.Write(body)
	return d.Sum64()
}

func reportOf(r reply.Reply) route.Feedback {
	return route.Feedback{
		Threshold: r.Threshold,
		Short:     laneOf(r.Short),
		Long:      laneOf(r.Long),
		Leaving:   r.Leaving,
		Stamp:     r.Stamp,
	}
}

func laneOf(l reply.Lane) pick.Lane {
	return pick.Lane{
		Running: l.Running,
		Limit:   l.Limit,
	}
}
