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

// result is the outcome of an attempt or of a whole call.
type result struct {
	state reply.State
	// answer is the target's answer if state is Done. The holder of the result
	// must release it.
	answer *fasthttp.Response
	// problem is sent to the caller if there is no answer.
	problem refuse.Problem
	target  string
	// targetUnavailable is true if the target was out of reach or leaving rather
	// than overloaded: an attempt at another target then adds no load.
	targetUnavailable bool
	// undelivered is true if the attempt never arrived although its connection
	// was open: the target may be healthy and can be tried again.
	undelivered bool
	// fromGuard is true if the guard reported the state, false if this daemon
	// concluded it by itself.
	fromGuard bool
	// stamp is the guard's stamp if it answered on the attempt's own exchange,
	// else zero.
	stamp ticket.Stamp
}

func (r result) outcome() string { return r.state.Outcome() }

// readResult turns the end of an attempt's exchange into a result and updates the
// routing state and the retry units.
func (s *Server) readResult(t *attempt, resp *fasthttp.Response, err error) result {
	now := s.cfg.Clock.Now()
	if err != nil {
		return s.classifyError(t, now, err)
	}
	r, problem := readReply(resp, t.hop.Attempt)
	if problem != nil {
		// The response is not a complete answer to this attempt, so the outcome
		// must be queried on another connection.
		s.cfg.Routes.Finished(now, t.c.op, t.inFlight, pick.Failed)
		return s.resolveOutcome(t, *problem)
	}
	s.cfg.Routes.Learn(now, t.c.op, t.target.Name, feedbackOf(r))
	t.returnUnits(r.RetryUnits)
	return s.classifyReply(t, now, resp, r)
}

// classifyReply turns a guard's reply to an attempt into a result.
func (s *Server) classifyReply(t *attempt, now clock.Milli, resp *fasthttp.Response, r reply.Reply) result {
	if r.State == reply.Done {
		s.cfg.Routes.Finished(now, t.c.op, t.inFlight, pick.Done)
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
	s.cfg.Routes.Finished(now, t.c.op, t.inFlight, outcome)
	p := guardProblem(resp)
	return result{
		state:             r.State,
		problem:           p,
		target:            t.target.Name,
		stamp:             r.Stamp,
		fromGuard:         true,
		targetUnavailable: p.Reason == refuse.Leaving,
	}
}

// classifyError turns the error of an exchange without an answer into a result.
func (s *Server) classifyError(t *attempt, now clock.Milli, err error) result {
	outcome := pick.Failed
	if t.resolved.Load() {
		outcome = pick.Canceled
	}
	s.cfg.Routes.Finished(now, t.c.op, t.inFlight, outcome)
	var failure *pool.Error
	if errors.As(err, &failure) && failure.Kind == pool.Unsent {
		t.returnUnits(t.hop.RetryUnits)
		return result{
			state:             reply.NotRun,
			problem:           refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Lost, "The daemon beside the target could not be reached."),
			target:            t.target.Name,
			targetUnavailable: true,
		}
	}
	if t.resolved.Load() {
		return result{
			state: reply.Unknown,
		}
	}
	return s.resolveOutcome(t, refuse.Unknown(fasthttp.StatusGatewayTimeout, refuse.Lost, "The answer of the target's daemon was lost."))
}

// resolveOutcome queries the guard, on a new connection, for the outcome of an
// attempt whose answer was lost. The query fences an attempt that has not arrived.
// Retry units lent to an attempt that arrived count as spent. The guard keeps the
// answer of an attempt on a ticket, so such an attempt is queried until it has
// ended or the deadline is near. Without an outcome the result has the problem
// lost.
func (s *Server) resolveOutcome(t *attempt, lost refuse.Problem) result {
	r, resp, ok := s.queryOutcome(t)
	for ok && r.State == reply.Running && t.hop.Ticket != "" && s.cfg.Clock.Now()+queryPollInterval < t.c.deadline {
		fasthttp.ReleaseResponse(resp)
		<-s.cfg.Clock.After(queryPollInterval)
		r, resp, ok = s.queryOutcome(t)
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
	return s.resultOfQuery(t, r, resp)
}

// resultOfQuery turns the guard's reply to a status query about t into a result.
// It releases resp unless the result holds it as the answer.
func (s *Server) resultOfQuery(t *attempt, r reply.Reply, resp *fasthttp.Response) result {
	if r.State == reply.Done {
		return result{
			state:  reply.Done,
			answer: resp,
			target: t.target.Name,
		}
	}
	if r.State == reply.NotRun {
		// The attempt is proved not to have arrived, so it spent no units.
		t.returnUnits(t.hop.RetryUnits)
	}
	p := guardProblem(resp)
	fasthttp.ReleaseResponse(resp)
	return result{
		state:             r.State,
		problem:           p,
		target:            t.target.Name,
		fromGuard:         true,
		targetUnavailable: true,
		undelivered:       r.State == reply.NotRun,
	}
}

// readReply reads a guard's reply and checks that the answer is complete and
// belongs to the attempt.
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

// AnswerDigest hashes an answer's status and body.
func AnswerDigest(status int, body []byte) uint64 {
	d := xxhash.NewWithSeed(uint64(status))
	_, _ = d.Write(body)
	return d.Sum64()
}

func feedbackOf(r reply.Reply) route.Feedback {
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
