package outbnd

import (
	"errors"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// answerGrace is how long after its deadline an attempt may still be answered, so
// that the answer of a guard that gives up exactly at the deadline arrives in
// time.
const answerGrace = 50 * clock.Millisecond

// runIdempotent makes attempts of an idempotent call until one is done or no more
// may be made. The result is not-run only if every attempt was.
func (s *Server) runIdempotent(c *call) result {
	var tried []string
	mayHaveRun := false
	last := result{}
	for {
		target, refused := s.chooseTarget(c, tried)
		if refused != nil {
			if len(tried) == 0 {
				last = *refused
			}
			break
		}
		last = s.runHedged(c, target, tried)
		if last.state == reply.Done {
			if len(tried) == 0 {
				s.cfg.Routes.Succeeded(s.cfg.Clock.Now(), c.caller, c.op.Service)
			}
			return last
		}
		mayHaveRun = mayHaveRun || last.state != reply.NotRun
		if !last.undelivered {
			tried = append(tried, last.target)
		}
		if !s.takeRetry(c, last) {
			break
		}
		s.cfg.Metrics.Retries()
	}
	if mayHaveRun {
		last.state = reply.Unknown
	}
	return last
}

// chooseTarget picks a target that is not in tried. Without one it returns a
// refusal.
func (s *Server) chooseTarget(c *call, tried []string) (*rules.Target, *result) {
	now := s.cfg.Clock.Now()
	choice, err := s.cfg.Routes.Choose(now, c.view, c.op.Service, pick.Query{
		Op:         c.path,
		Importance: c.importance,
		Cost:       c.op.Cost,
		RootHash:   c.rootHash,
		Exclude:    tried,
		Bytes:      len(c.body) + typicalAnswerBytes,
	})
	if err != nil {
		return nil, refusalOf(err)
	}
	target, ok := c.view.Rules.Target(choice.Target)
	if !ok {
		// The picker may already use a newer view than the call, with a target
		// that the call's rules do not list.
		return nil, refusalOf(err)
	}
	return target, nil
}

// typicalAnswerBytes is the answer size that is charged to the regional link
// while the real size is not known yet.
const typicalAnswerBytes = 2048

func refusalOf(err error) *result {
	var failure *pick.Error
	p := refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Targets, "No target of the service can be used.")
	if errors.As(err, &failure) && failure.Kind == pick.AllWouldRefuse {
		p = refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Shed, "Every target of the service sheds requests of this rank.")
	}
	return &result{
		state:   reply.NotRun,
		problem: p,
	}
}

// takeRetry reports whether one more attempt may be made. If so, it has taken the
// attempt from the retry budgets.
func (s *Server) takeRetry(c *call, last result) bool {
	now := s.cfg.Clock.Now()
	if now >= c.deadline || c.isCancelled() {
		return false
	}
	if s.cfg.Routes.AllWouldRefuse(now, c.view, c.op, c.importance, c.rootHash) {
		return false
	}
	// A target that is out of reach or leaving did no work, so an attempt at
	// another target adds no load and takes nothing from the retry ratio.
	if !last.targetUnavailable && !s.cfg.Routes.TakeRetry(now, c.caller, c.op.Service) {
		return false
	}
	return c.spendUnit()
}

// runHedged makes one attempt, and a second one concurrently if the first is late
// and the operation may be hedged. It queries the guard about an attempt that is
// very late, since its connection may no longer deliver anything.
func (s *Server) runHedged(c *call, target *rules.Target, tried []string) result {
	first, err := s.startAttempt(c, target, "")
	if err != nil {
		return sealFailure(err)
	}
	r := race{
		s:     s,
		c:     c,
		first: first,
		tried: append(tried, target.Name),
	}
	return r.run()
}

func sealFailure(err error) result {
	return result{
		state:   reply.NotRun,
		problem: refuse.NotRun(fasthttp.StatusInternalServerError, refuse.Malformed, "The attempt could not be described.").WithDetail(err.Error()),
	}
}
