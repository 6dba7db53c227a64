package flow

import (
	"sync"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// markTime is how long a target that was not reached, or whose daemon
	// says that it leaves, gets no new work before it is tried again.
	markTime = clock.Second
	// linkRate is the budget of each daemon on the link between regions, in
	// bytes a second, linkBurst what it saves up.
	linkRate  = 100 << 10
	linkBurst = 200 << 10
)

// service is what the outbound side knows of one service.
type service struct {
	mu      sync.Mutex
	picker  *pick.Picker
	budget  *budget
	from    *model.View
	targets map[string]model.Target
	// marks maps targets to the instant until which they are left out.
	marks  map[string]clock.Milli
	marked bool
	// seen maps the ids of targets to the instant at which they were first
	// known, 0 for those of the first view.
	seen map[string]clock.Milli
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
		budget:  newBudget(cfg, daemons, now),
		targets: make(map[string]model.Target),
		marks:   make(map[string]clock.Milli),
		seen:    make(map[string]clock.Milli),
	}
}

// refresh makes the candidates follow the view and the marks. s.mu is held.
func (s *service) refresh(now clock.Milli, v *model.View, name string, centres map[string]string) {
	for id, until := range s.marks {
		if now >= until {
			delete(s.marks, id)
			s.marked = true
		}
	}
	if s.from == v && !s.marked {
		return
	}
	first := s.from == nil
	s.from = v
	s.marked = false
	targets := v.Fleet.ByService(name)
	isMarked := s.usableMarks(targets)
	candidates := make([]pick.Candidate, 0, len(targets))
	s.targets = make(map[string]model.Target, len(targets))
	for _, t := range targets {
		s.targets[t.ID] = t
		if _, ok := s.seen[t.ID]; !ok {
			s.seen[t.ID] = now
			if first || t.ColdRemaining <= 0 {
				s.seen[t.ID] = 0
			}
		}
		candidates = append(candidates, pick.Candidate{
			Name:    t.ID,
			Region:  centres[t.Centre],
			Centre:  t.Centre,
			Slots:   t.Slots,
			Leaving: t.Leaving || isMarked[t.ID],
			Started: s.seen[t.ID],
		})
	}
	for id := range s.seen {
		if _, ok := s.targets[id]; !ok {
			delete(s.seen, id)
		}
	}
	s.picker.SetTargets(candidates)
}

// usableMarks returns the targets to leave out: none if all are marked, because
// a mark is a guess and somebody must be asked. s.mu is held.
func (s *service) usableMarks(targets []model.Target) map[string]bool {
	marked := make(map[string]bool, len(s.marks))
	free := 0
	for _, t := range targets {
		if _, ok := s.marks[t.ID]; ok {
			marked[t.ID] = true
		} else if !t.Leaving {
			free++
		}
	}
	if free == 0 {
		return nil
	}
	return marked
}

// learn takes in what the daemon beside a target said. s.mu is held.
func (s *service) learn(now clock.Milli, target, op string, w peer.Feedback) {
	s.picker.ReportLoad(now, target, pick.LoadReport{
		Short: pick.Lane{
			Running: w.Running,
			Limit:   w.Limit,
		},
	})
	s.picker.ReportThreshold(now, target, op, w.Threshold)
}

// mark leaves a target out for a while and reports whether it was not left out
// before. s.mu is held.
func (s *service) mark(now clock.Milli, target string) bool {
	_, ok := s.marks[target]
	s.marks[target] = now + markTime
	s.marked = true
	return !ok
}
