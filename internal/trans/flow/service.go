package flow

import (
	"sync"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// ejectionTime is how long a target gets no new work after it was
	// unreachable or its daemon reported that it leaves.
	ejectionTime = clock.Second
	// linkBytesPerSecond is the budget of each daemon for calls across the link
	// between regions, and linkBurstBytes how much unused budget it may save up.
	linkBytesPerSecond = 100 << 10
	linkBurstBytes     = 200 << 10
)

// service is the outbound side's state of one service.
type service struct {
	mu          sync.Mutex
	picker      *pick.Picker
	retryBudget *retryBudget
	link        *pick.Bucket
	// byTime says that targets are chosen by the expected time of a call, and
	// answerBytes holds the usual size of the answers of each route.
	byTime      bool
	answerBytes map[string]float64
	view        *model.View
	targets     map[string]model.Target
	// ejectedUntil maps each ejected target to the end of its ejection.
	ejectedUntil map[string]clock.Milli
	// ejectionsChanged is set when the candidates must be rebuilt although the
	// view is the same.
	ejectionsChanged bool
	// endings maps each target whose daemon stops to what the daemon said of its end.
	endings map[string]ending
	// firstSeen maps target ids to the instant at which each became known. It
	// is 0 for targets that need no warm-up: those of the first view, and those
	// whose record says that they are not cold.
	firstSeen map[string]clock.Milli
}

// ending is the announced end of a daemon.
type ending struct {
	// end is the instant at which the daemon ends. The announcement is believed
	// until the instant until, since the daemon may end sooner and start again.
	end   clock.Milli
	until clock.Milli
}

func newService(cfg *Config, name string, link *pick.Bucket, now clock.Milli, daemons int) *service {
	seed := cfg.Seed
	for _, b := range []byte(name) {
		seed = seed*31 + uint64(b)
	}
	return &service{
		picker: pick.New(pick.Config{
			Region:     cfg.Self.Region,
			Centre:     cfg.Self.Centre,
			Seed:       seed,
			LinkBudget: link,
			// Traffic between data centres is paid for, and a faster answer is
			// worth nothing to a call that is answered in time anyway.
			OwnCentreFirst: true,
		}),
		retryBudget:  newRetryBudget(cfg, daemons, now),
		link:         link,
		answerBytes:  make(map[string]float64),
		targets:      make(map[string]model.Target),
		ejectedUntil: make(map[string]clock.Milli),
		endings:      make(map[string]ending),
		firstSeen:    make(map[string]clock.Milli),
	}
}

// refresh rebuilds the picker's candidates after a change of the view or of the
// ejections. s.mu must be held.
func (s *service) refresh(now clock.Milli, v *model.View, name string, self *Self) {
	for id, until := range s.ejectedUntil {
		if now >= until {
			delete(s.ejectedUntil, id)
			s.ejectionsChanged = true
		}
	}
	if s.view == v && !s.ejectionsChanged {
		return
	}
	isFirstView := s.view == nil
	s.view = v
	s.ejectionsChanged = false
	targets := v.Fleet.ByService(name)
	isEjected := s.ejected(targets)
	candidates := make([]pick.Candidate, 0, len(targets))
	s.targets = make(map[string]model.Target, len(targets))
	for _, t := range targets {
		s.targets[t.ID] = t
		if _, ok := s.firstSeen[t.ID]; !ok {
			s.firstSeen[t.ID] = now
			if isFirstView || t.ColdRemaining <= 0 {
				s.firstSeen[t.ID] = 0
			}
		}
		candidates = append(candidates, pick.Candidate{
			Name:    t.ID,
			Region:  self.Centres[t.Centre],
			Centre:  t.Centre,
			Slots:   t.Slots,
			Leaving: t.Leaving || isEjected[t.ID],
			Started: s.firstSeen[t.ID],
		})
	}
	for id := range s.firstSeen {
		if _, ok := s.targets[id]; !ok {
			delete(s.firstSeen, id)
		}
	}
	s.picker.SetTargets(candidates)
	s.setByTime(now, v, self)
}

// ejected returns the targets that are ejected now. If no target would be left
// it returns none: an ejection is only a guess, and one of the targets must be
// tried. s.mu must be held.
func (s *service) ejected(targets []model.Target) map[string]bool {
	ids := make(map[string]bool, len(s.ejectedUntil))
	available := 0
	for _, t := range targets {
		if _, ok := s.ejectedUntil[t.ID]; ok {
			ids[t.ID] = true
		} else if !t.Leaving {
			available++
		}
	}
	if available == 0 {
		return nil
	}
	return ids
}

// threshold returns the threshold below which the service would refuse a call of
// the path at every target.
func (s *service) threshold(now clock.Milli, path string) admit.Threshold {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.MinThreshold(now, path)
}

// allWouldRefuse reports whether every target would refuse a request of the path, as far
// as they have stated their thresholds.
func (s *service) allWouldRefuse(now clock.Milli, path string, importance rules.Importance, root uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.AllWouldRefuse(now, path, importance, root)
}

// applyFeedback records the end that a target's daemon announced, and passes the load
// and the threshold that it reported to the picker. s.mu must be held.
func (s *service) applyFeedback(now clock.Milli, target, op string, fb peer.Feedback) {
	s.picker.ReportLoad(now, target, pick.LoadReport{
		Short: pick.Lane{
			Running: fb.Running,
			Limit:   fb.Limit,
		},
		Throughput: fb.Room.Throughput,
		Wait:       expectedWait(&fb),
	})
	s.picker.ReportThreshold(now, target, op, fb.Threshold)
	if fb.Ends == 0 {
		delete(s.endings, target)
		return
	}
	s.endings[target] = ending{
		end:   now + fb.Ends,
		until: now + ejectionTime,
	}
}

// endingBefore returns the targets whose daemons end before the deadline. s.mu must
// be held.
func (s *service) endingBefore(now, deadline clock.Milli) []string {
	var ids []string
	for id, e := range s.endings {
		switch {
		case now >= e.until:
			delete(s.endings, id)
		case e.end < deadline:
			ids = append(ids, id)
		}
	}
	return ids
}

// eject ejects a target for ejectionTime and reports whether it was not ejected
// before. s.mu must be held.
func (s *service) eject(now clock.Milli, target string) bool {
	_, ok := s.ejectedUntil[target]
	s.ejectedUntil[target] = now + ejectionTime
	s.ejectionsChanged = true
	return !ok
}
