package bench

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// shedCheck checks that less important requests are shed first: when a request
// is refused for lack of capacity, no request of lower importance may be kept at
// the same place and time.
type shedCheck struct {
	atGates int
	atHops  int
	hops    map[hopKey]hopWindow
}

// hopKey identifies the place where a daemon sends or refuses calls to an
// operation.
type hopKey struct {
	d    *daemon
	path string
}

// hopWindow holds the decisions at a hop in one millisecond under one threshold.
type hopWindow struct {
	at        clock.Milli
	threshold admit.Threshold
	// refused is the highest importance refused so far, valid if hasRefused.
	refused    rules.Importance
	hasRefused bool
}

func newShedCheck() shedCheck {
	return shedCheck{
		hops: make(map[hopKey]hopWindow),
	}
}

// checkGate checks a gate's decision on c against the requests that are queued
// there.
func (s *shedCheck) checkGate(t *target, c *inboundCall, d admit.Decision) {
	for _, evicted := range d.Evicted {
		if t.calls[evicted.Seq].req.importance > c.req.importance {
			s.atGates++
		}
	}
	if d.Verdict != admit.Refuse || d.Reason == admit.DeadlineTooClose {
		return
	}
	for _, other := range t.calls {
		isQueued := other != c && other.began == 0
		if isQueued && other.admitRequest.Cost == c.admitRequest.Cost && other.req.importance < c.req.importance {
			s.atGates++
			return
		}
	}
}

// checkHop checks a daemon's decision to refuse or send a call against its
// earlier decisions in the same millisecond under the same threshold.
func (s *shedCheck) checkHop(c *call, threshold admit.Threshold, refused bool) {
	if len(c.tried) > 0 {
		return
	}
	key := hopKey{
		d:    c.d,
		path: c.op.Path,
	}
	now := c.d.f.now()
	window := s.hops[key]
	if window.at != now || window.threshold != threshold {
		window = hopWindow{
			at:        now,
			threshold: threshold,
		}
	}
	importance := c.req.importance
	if refused {
		window.refused = max(window.refused, importance)
		window.hasRefused = true
	} else if window.hasRefused && importance < window.refused {
		s.atHops++
	}
	s.hops[key] = window
}
