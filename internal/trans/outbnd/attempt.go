package outbnd

import (
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// askWait bounds a status query.
	askWait = 500 * clock.Millisecond
	// settleStep is the wait between two queries about an attempt that runs
	// while its answer is known to be lost.
	settleStep = 50 * clock.Millisecond
	// outcomePath and stampPath are where inbound sides answer questions.
	outcomePath = "/outcome"
	stampPath   = "/stamp"
	// patienceFactor times the usual latency is when an attempt is late enough
	// to ask its guard about it.
	patienceFactor = 4
)

// try is one attempt in progress. The goroutine that makes the exchange
// delivers one result; who has stopped waiting calls drop.
type try struct {
	c      *call
	target *rules.Target
	sealed string
	hop    hop.Hop
	start  clock.Milli
	flight pick.Call
	done   chan result
	// silent marks an attempt that was settled on another connection, so
	// that its late end does not count against the target.
	silent atomic.Bool
	// returned is set once the units lent to the attempt came back.
	returned atomic.Bool
}

// takeBack returns what the attempt did not spend of its units. Only the first
// word about them counts.
func (t *try) takeBack(unspent int) {
	if t.returned.CompareAndSwap(false, true) {
		t.c.takeBack(t.hop.RetryUnits, unspent)
	}
}

// begin starts an attempt of c at the target.
func (s *Server) begin(c *call, target *rules.Target, sealedTicket string) (*try, error) {
	now := s.cfg.Clock.Now()
	c.note(target.Name)
	share := c.lend()
	t := &try{
		c:      c,
		target: target,
		start:  now,
		hop: hop.Hop{
			Attempt:     s.nextAttempt(),
			ID:          c.id,
			Root:        c.root,
			RootHash:    c.order,
			Target:      target.Name,
			Incarnation: s.cfg.Routes.Stamp(target.Name).Incarnation,
			Path:        c.path,
			Caller:      c.caller,
			Importance:  c.importance,
			Depth:       c.depth,
			Remaining:   c.deadline - now,
			RetryUnits:  share,
			Ticket:      sealedTicket,
			Digest:      c.digest,
		},
		done: make(chan result, 1),
	}
	sealed, err := s.keys.Seal(t.hop)
	if err != nil {
		t.takeBack(share)
		return nil, err
	}
	t.sealed = sealed
	s.cfg.Metrics.Attempts()
	t.flight = s.cfg.Routes.Started(now, c.op, target.Name)
	go s.exchange(t)
	return t, nil
}

func (s *Server) nextAttempt() string {
	n := s.attempt.Add(1)
	buf := make([]byte, 0, 32)
	buf = strconv.AppendUint(buf, s.cfg.Nonce, 36)
	buf = append(buf, '-')
	return string(strconv.AppendUint(buf, n, 36))
}

// exchange makes the attempt and delivers its result.
func (s *Server) exchange(t *try) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	t.fill(req)
	err := s.cfg.Pool.Do(addrOf(t.target), req, resp, t.c.deadline-t.start+grace)
	r := s.read(t, resp, err)
	if r.answer == nil {
		fasthttp.ReleaseResponse(resp)
	}
	t.done <- r
}

func (t *try) fill(req *fasthttp.Request) {
	t.c.header.CopyTo(&req.Header)
	req.SetBodyRaw(t.c.body)
	req.SetRequestURIBytes(t.c.uri)
	req.Header.SetHost(addrOf(t.target))
	req.URI().SetScheme("http")
	req.Header.Set(header.Hop, t.sealed)
}

// ask makes a status query about t on a new connection.
func (s *Server) ask(t *try) (reply.Reply, *fasthttp.Response, bool) {
	about := t.hop
	about.Age = s.cfg.Clock.Now() - t.start
	sealed, err := s.keys.Seal(about)
	if err != nil {
		return reply.Reply{}, nil, false
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	addr := addrOf(t.target)
	req.SetRequestURI("http://" + addr + outcomePath)
	req.Header.Set(header.Hop, sealed)
	wait := min(askWait, max(t.c.deadline-s.cfg.Clock.Now(), askWait/2))
	if err := s.cfg.Pool.DoFresh(addr, req, resp, wait); err != nil {
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

// drop stops waiting for t: the exchange ends by itself, and its answer is
// released. The guard is told, so that queued work is not run for nobody.
func (s *Server) drop(t *try) {
	go func() {
		s.cancel(t)
		r := <-t.done
		if r.answer != nil {
			fasthttp.ReleaseResponse(r.answer)
		}
	}()
}

// cancel tells the guard that nobody waits for t any more.
func (s *Server) cancel(t *try) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	addr := addrOf(t.target)
	req.SetRequestURI("http://" + addr + outcomePath)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.Header.Set(header.Hop, t.sealed)
	// A lost cancellation costs the target some work and nothing else.
	_ = s.cfg.Pool.Do(addr, req, resp, askWait)
}
