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

// grace is how long an attempt may be answered after its deadline, so that a
// guard that gives up exactly at the deadline is still heard.
const grace = 50 * clock.Millisecond

// run makes attempts of a repeatable call until one is done or nothing more
// can be tried. The result is not-run only if every attempt was.
func (s *Server) run(c *call) result {
	var tried []string
	mayHaveRun := false
	last := result{}
	for {
		target, refused := s.choose(c, tried)
		if refused != nil {
			if len(tried) == 0 {
				last = *refused
			}
			break
		}
		last = s.round(c, target, tried)
		if last.state == reply.Done {
			if len(tried) == 0 {
				s.cfg.Routes.Succeeded(s.cfg.Clock.Now(), c.caller, c.op.Service)
			}
			return last
		}
		mayHaveRun = mayHaveRun || last.state != reply.NotRun
		if !last.silent {
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

// choose picks a target that has not been tried.
func (s *Server) choose(c *call, tried []string) (*rules.Target, *result) {
	now := s.cfg.Clock.Now()
	choice, err := s.cfg.Routes.Choose(now, c.view, c.op.Service, pick.Query{
		Op:         c.path,
		Importance: c.importance,
		Cost:       c.op.Cost,
		RootHash:   c.order,
		Exclude:    tried,
		Bytes:      len(c.body) + typicalAnswer,
	})
	if err != nil {
		return nil, refusalOf(err)
	}
	target, ok := c.view.Rules.Target(choice.Target)
	if !ok {
		// The picker follows another view than the call; both are young.
		return nil, refusalOf(err)
	}
	return target, nil
}

// typicalAnswer is the size of an answer that the regional link is charged
// with before the answer is known, in bytes.
const typicalAnswer = 2048

func refusalOf(err error) *result {
	var failure *pick.Error
	p := refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Targets, "No target of the service can be used.")
	if errors.As(err, &failure) && failure.Kind == pick.Doomed {
		p = refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Shed, "Every target of the service sheds requests of this rank.")
	}
	return &result{
		state:   reply.NotRun,
		problem: p,
	}
}

// takeRetry reports whether one more attempt may be made, and takes its means.
func (s *Server) takeRetry(c *call, last result) bool {
	now := s.cfg.Clock.Now()
	if now >= c.deadline || c.isGone() {
		return false
	}
	if s.cfg.Routes.AllWouldRefuse(now, c.view, c.op, c.importance, c.order) {
		return false
	}
	// A target that is out of reach or leaving did no work, so trying another
	// one adds no load and needs no budget.
	if !last.elsewhere && !s.cfg.Routes.TakeRetry(now, c.caller, c.op.Service) {
		return false
	}
	return c.spend()
}

// round makes one attempt, and a second beside it if the first is late and the
// operation may be hedged. It asks the guard about an attempt that is very
// late, since the connection may have gone silent.
func (s *Server) round(c *call, target *rules.Target, tried []string) result {
	first, err := s.begin(c, target, "")
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
