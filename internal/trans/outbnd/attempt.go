package outbnd

import (
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// queryTimeout bounds one status query to a guard.
	queryTimeout = 500 * clock.Millisecond
	// queryPollInterval is the wait between two queries about an attempt whose
	// answer was lost and which still runs.
	queryPollInterval = 50 * clock.Millisecond
	// outcomePath and stampPath are the inbound paths that serve status queries
	// and ticket stamps.
	outcomePath = "/outcome"
	stampPath   = "/stamp"
	// queryDelayFactor times the operation's hedge delay is the time after which
	// an unanswered attempt is queried.
	queryDelayFactor = 4
)

// attempt is one attempt in progress. The goroutine of its exchange delivers
// exactly one result on done. A receiver that no longer waits for the result
// calls Server.abandon.
type attempt struct {
	c        *call
	target   *rules.Target
	sealed   string
	hop      hop.Hop
	start    clock.Milli
	inFlight pick.Call
	done     chan result
	// resolved marks an attempt whose outcome was found by a query, so that the
	// late end of its exchange does not count as a failure of the target.
	resolved atomic.Bool
	// unitsReturned is set once the attempt's unspent units were returned.
	unitsReturned atomic.Bool
}

// returnUnits gives the attempt's unspent retry units back to the call. Only the
// first call has an effect.
func (t *attempt) returnUnits(unspent int) {
	if t.unitsReturned.CompareAndSwap(false, true) {
		t.c.returnUnits(t.hop.RetryUnits, unspent)
	}
}

// startAttempt starts an attempt of c at the target. An empty sealedTicket means
// an attempt without a ticket.
func (s *Server) startAttempt(c *call, target *rules.Target, sealedTicket string) (*attempt, error) {
	now := s.cfg.Clock.Now()
	c.recordAttempt(target.Name)
	units := c.lendUnits()
	t := &attempt{
		c:      c,
		target: target,
		start:  now,
		hop: hop.Hop{
			Attempt:     s.nextAttempt(),
			ID:          c.id,
			Root:        c.root,
			RootHash:    c.rootHash,
			Target:      target.Name,
			Incarnation: s.cfg.Routes.Stamp(target.Name).Incarnation,
			Path:        c.path,
			Caller:      c.caller,
			Importance:  c.importance,
			Depth:       c.depth,
			Remaining:   c.deadline - now,
			RetryUnits:  units,
			Ticket:      sealedTicket,
			Digest:      c.digest,
		},
		done: make(chan result, 1),
	}
	sealed, err := s.keys.Seal(t.hop)
	if err != nil {
		t.returnUnits(units)
		return nil, err
	}
	t.sealed = sealed
	s.cfg.Metrics.Attempts()
	t.inFlight = s.cfg.Routes.Started(now, c.op, target.Name)
	go s.runExchange(t)
	return t, nil
}

func (s *Server) nextAttempt() string {
	n := s.lastAttempt.Add(1)
	buf := make([]byte, 0, 32)
	buf = strconv.AppendUint(buf, s.cfg.Nonce, 36)
	buf = append(buf, '-')
	return string(strconv.AppendUint(buf, n, 36))
}

// runExchange sends the attempt to the guard and delivers its result. A panic in
// the exchange leaves the outcome unknown.
func (s *Server) runExchange(t *attempt) {
	var r result
	if err := rescue.Run("exchange with a guard", func() { r = s.send(t) }); err != nil {
		event.Contained(s.cfg.Log, err)
		r = result{
			state:   reply.Unknown,
			problem: refuse.Unknown(fasthttp.StatusBadGateway, refuse.Lost, "The exchange with the target's daemon broke off."),
			target:  t.target.Name,
		}
	}
	t.done <- r
}

// send sends the attempt to the guard and returns the result.
func (s *Server) send(t *attempt) result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	t.fill(req)
	err := s.cfg.Pool.Do(addrOf(t.target), req, resp, t.c.deadline-t.start+answerGrace)
	r := s.readResult(t, resp, err)
	if r.answer == nil {
		fasthttp.ReleaseResponse(resp)
	}
	return r
}

func (t *attempt) fill(req *fasthttp.Request) {
	t.c.header.CopyTo(&req.Header)
	req.SetBodyRaw(t.c.body)
	req.SetRequestURIBytes(t.c.uri)
	req.Header.SetHost(addrOf(t.target))
	req.URI().SetScheme("http")
	req.Header.Set(header.Hop, t.sealed)
}

// queryOutcome makes a status query about t on a new connection. If ok is true,
// the caller must release the response.
func (s *Server) queryOutcome(t *attempt) (reply.Reply, *fasthttp.Response, bool) {
	query := t.hop
	query.Age = s.cfg.Clock.Now() - t.start
	sealed, err := s.keys.Seal(query)
	if err != nil {
		return reply.Reply{}, nil, false
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	addr := addrOf(t.target)
	req.SetRequestURI("http://" + addr + outcomePath)
	req.Header.Set(header.Hop, sealed)
	timeout := min(queryTimeout, max(t.c.deadline-s.cfg.Clock.Now(), queryTimeout/2))
	if err := s.cfg.Pool.DoFresh(addr, req, resp, timeout); err != nil {
		fasthttp.ReleaseResponse(resp)
		return reply.Reply{}, nil, false
	}
	r, problem := readReply(resp, t.hop.Attempt)
	if problem != nil {
		fasthttp.ReleaseResponse(resp)
		return reply.Reply{}, nil, false
	}
	return r, resp, true
}

// abandon stops waiting for t without blocking. It sends a cancellation to the
// guard, so that queued work is not run without a receiver, and releases the
// answer once the exchange has ended.
func (s *Server) abandon(t *attempt) {
	go func() {
		s.sendCancel(t)
		r := <-t.done
		if r.answer != nil {
			fasthttp.ReleaseResponse(r.answer)
		}
	}()
}

// sendCancel asks the guard to cancel t.
func (s *Server) sendCancel(t *attempt) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	addr := addrOf(t.target)
	req.SetRequestURI("http://" + addr + outcomePath)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.Header.Set(header.Hop, t.sealed)
	// The error is ignored: a lost cancellation only costs the target some
	// unneeded work.
	_ = s.cfg.Pool.Do(addr, req, resp, queryTimeout)
}
