package flow

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// regionLinkBytes is the budget of all daemons of a region for calls across
	// the link between regions, half of a link of 60 Mbit/s, where targets are
	// chosen by expected time. Request and answer both count.
	regionLinkBytes = 3_750_000
	// minLinkBurstBytes is the least burst of a daemon. With less, the reserves
	// for more important calls would leave nothing to others in large fleets.
	minLinkBurstBytes = 32 << 10
	// headBytes is the estimated size of the header fields of a request or an
	// answer between daemons.
	headBytes = 700
	// firstAnswerBytes is the expected size of the body of an answer until one has
	// been seen.
	firstAnswerBytes = 2 << 10
	// answerWeight is the weight of one answer in the usual size.
	answerWeight = 1.0 / 16
)

// setByTime sets the way of choosing and the link budget after a change of the
// view. s.mu must be held.
func (s *service) setByTime(now clock.Milli, v *model.View, self *Self) {
	s.byTime = v.Config != nil && v.Config.Learns()
	s.picker.SetByExpectedTime(s.byTime)
	rate, burst := int64(linkBytesPerSecond), int64(linkBurstBytes)
	if s.byTime {
		rate, burst = linkShare(countRegionHosts(v, self))
	}
	s.link.SetRate(now, rate, burst)
}

// countRegionHosts returns the number of hosts with a target in the own region,
// which is about the number of daemons there.
func countRegionHosts(v *model.View, self *Self) int {
	hosts := make(map[string]bool, len(v.Fleet.Targets))
	for _, t := range v.Fleet.Targets {
		if self.Centres[t.Centre] == self.Region {
			hosts[t.Host()] = true
		}
	}
	return len(hosts)
}

// linkShare returns the bytes a second, and the burst, that each of n daemons of a
// region may send across the link.
func linkShare(n int) (rate, burst int64) {
	rate = min(linkBytesPerSecond, int64(regionLinkBytes/max(n, 1)))
	return rate, min(linkBurstBytes, max(2*rate, minLinkBurstBytes))
}

// describe adds to a query what a choice by expected time needs. s.mu must be held.
func (s *service) describe(now clock.Milli, c *call, q *pick.Query) {
	if !s.byTime {
		return
	}
	q.TimeLeft = max(c.deadline-now, 1)
	q.LatencyGoal = c.route.LatencyGoal
	answer, ok := s.answerBytes[c.route.Name]
	if !ok {
		answer = firstAnswerBytes
	}
	q.Bytes = 2*headBytes + len(c.r.Body) + int(answer)
}

// recordAnswer learns from a complete answer of a target, charges what it took of the
// link above the estimate, and returns its outcome: a failure of the target itself
// does not count as completed, since it may come fast. s.mu must be held.
func (s *service) recordAnswer(now clock.Milli, c *call, a *guard.Answer, fb peer.Feedback) pick.Outcome {
	if c.linkBytes > 0 {
		actual := 2*headBytes + len(c.r.Body) + len(a.Body)
		s.link.Charge(now, max(0, actual-c.linkBytes))
	}
	if a.Status == fasthttp.StatusInternalServerError && fb.Reason != peer.ReasonCallFailed {
		return pick.Failed
	}
	usual, ok := s.answerBytes[c.route.Name]
	if !ok {
		usual = float64(len(a.Body))
	}
	s.answerBytes[c.route.Name] = usual + answerWeight*(float64(len(a.Body))-usual)
	return pick.Done
}
