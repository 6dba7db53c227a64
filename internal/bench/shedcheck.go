package bench

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// shedCheck checks that less important work is shed first: where a request is
// refused for want of capacity, none of lower importance may be kept at the
// same place and instant.
type shedCheck struct {
	atGates int
	atHops  int
	hops    map[hopKey]hopWindow
}

// hopKey is a place where a daemon refuses or sends calls.
type hopKey struct {
	d    *daemon
	path string
}

// hopWindow is what happened at a hop in one millisecond under one threshold.
type hopWindow struct {
	at        clock.Milli
	threshold admit.Threshold
	// refused is the highest importance refused so far, if any was.
	refused    rules.Importance
	hasRefused bool
}

func newShedCheck() shedCheck {
	return shedCheck{
		hops: make(map[hopKey]hopWindow),
	}
}

// checkGate checks a checkGate's decision against the works that wait there.
func (o *shedCheck) checkGate(t *target, c *inboundCall, d admit.Decision) {
	for _, evicted := range d.Evicted {
		if t.calls[evicted.Seq].req.importance > c.req.importance {
			o.atGates++
		}
	}
	if d.Verdict != admit.Refuse || d.Reason == admit.DeadlineTooClose {
		return
	}
	for _, other := range t.calls {
		isQueued := other != c && other.began == 0
		if isQueued && other.request.Cost == c.request.Cost && other.req.importance < c.req.importance {
			o.atGates++
			return
		}
	}
}

// checkHop checks a daemon's decision to refuse or send a call against those just
// before it, unless an answer changed the threshold between them.
func (o *shedCheck) checkHop(c *call, threshold admit.Threshold, refused bool) {
	if len(c.tried) > 0 {
		return
	}
	key := hopKey{
		d:    c.d,
		path: c.op.Path,
	}
	now := c.d.f.now()
	s := o.hops[key]
	if s.at != now || s.threshold != threshold {
		s = hopWindow{
			at:        now,
			threshold: threshold,
		}
	}
	importance := c.req.importance
	if refused {
		s.refused = max(s.refused, importance)
		s.hasRefused = true
	} else if s.hasRefused && importance < s.refused {
		o.atHops++
	}
	o.hops[key] = s
}
