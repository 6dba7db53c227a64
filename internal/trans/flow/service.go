package flow

import (
	"sync"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// ejectionTime is how long a target that was not reached, or whose daemon
	// says that it leaves, gets no new work before it is tried again.
	ejectionTime = clock.Second
	// linkBytesPerSecond is the budget of each daemon on the link between regions, in
	// bytes a second, linkBurst what it saves up.
	linkBytesPerSecond = 100 << 10
	linkBurstBytes     = 200 << 10
)

// service is what the outbound side knows of one service.
type service struct {
	mu          sync.Mutex
	picker      *pick.Picker
	retryBudget *retryBudget
	view        *model.View
	targets     map[string]model.Target
	// ejectedUntil maps targets to the instant until which they are left out.
	ejectedUntil     map[string]clock.Milli
	ejectionsChanged bool
	// firstSeen maps the ids of targets to the instant at which they were first
	// known, 0 for those of the first view.
	firstSeen map[string]clock.Milli
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
			// Bytes between centres are paid for, and a call that is answered
			// in time is worth no more for being faster.
			OwnCentreFirst: true,
		}),
		retryBudget:  newRetryBudget(cfg, daemons, now),
		targets:      make(map[string]model.Target),
		ejectedUntil: make(map[string]clock.Milli),
		firstSeen:    make(map[string]clock.Milli),
	}
}

// refresh makes the candidates follow the view and the marks. s.mu is held.
func (s *service) refresh(now clock.Milli, v *model.View, name string, centres map[string]string) {
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
			Region:  centres[t.Centre],
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
}

// ejected returns the targets to leave out: none if all are marked, because
// a mark is a guess and somebody must be asked. s.mu is held.
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

// applyFeedback takes in what the daemon beside a target said. s.mu is held.
func (s *service) applyFeedback(now clock.Milli, target, op string, fb peer.Feedback) {
	s.picker.ReportLoad(now, target, pick.LoadReport{
		Short: pick.Lane{
			Running: fb.Running,
			Limit:   fb.Limit,
		},
	})
	s.picker.ReportThreshold(now, target, op, fb.Threshold)
}

// eject leaves a target out for a while and reports whether it was not left out
// before. s.mu is held.
func (s *service) eject(now clock.Milli, target string) bool {
	_, ok := s.ejectedUntil[target]
	s.ejectedUntil[target] = now + ejectionTime
	s.ejectionsChanged = true
	return !ok
}
