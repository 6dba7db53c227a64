package bench

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// order checks that less important work is shed first: where a request is
// refused for want of capacity, none of lower importance may be kept at the
// same place and instant.
type order struct {
	atGates int
	atHops  int
	hops    map[hop]span
}

// hop is a place where a daemon refuses or sends calls.
type hop struct {
	d    *daemon
	path string
}

// span is what happened at a hop in one millisecond under one threshold.
type span struct {
	at    clock.Milli
	floor admit.Threshold
	// refused is the highest importance refused so far, if any was.
	refused rules.Importance
	any     bool
}

func newOrder() order {
	return order{
		hops: make(map[hop]span),
	}
}

// gate checks a gate's decision against the works that wait there.
func (o *order) gate(t *target, v *visit, d admit.Decision) {
	for _, gone := range d.Evicted {
		if t.visits[gone.Seq].req.importance > v.req.importance {
			o.atGates++
		}
	}
	if d.Verdict != admit.Refuse || d.Reason == admit.DeadlineTooClose {
		return
	}
	for _, other := range t.visits {
		waits := other != v && other.began == 0
		if waits && other.work.Cost == v.work.Cost && other.req.importance < v.req.importance {
			o.atGates++
			return
		}
	}
}

// hop checks a daemon's decision to refuse or send a call against those just
// before it, unless an answer changed the threshold between them.
func (o *order) hop(c *call, floor admit.Threshold, refused bool) {
	if len(c.tried) > 0 {
		return
	}
	key := hop{
		d:    c.d,
		path: c.op.Path,
	}
	now := c.d.f.now()
	s := o.hops[key]
	if s.at != now || s.floor != floor {
		s = span{
			at:    now,
			floor: floor,
		}
	}
	importance := c.req.importance
	if refused {
		s.refused = max(s.refused, importance)
		s.any = true
	} else if s.any && importance < s.refused {
		o.atHops++
	}
	o.hops[key] = s
}
