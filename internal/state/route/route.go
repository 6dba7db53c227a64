// Package route is the outbound side's knowledge of all services: one picker
// of targets for each, the budgets of retries, and the stamps of guards that
// tickets are minted with.
//
// A Table joins what the daemon saw itself on its calls with the published
// view of the fleet. Each service has a lock of its own, so that calls to one
// service do not wait for calls to another.
package route

import (
	"sync"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/pkg/clock"
)

// Config places a Table.
type Config struct {
	// Region and Centre are the place of the daemon.
	Region string
	Centre string
	// Seed makes the random draws repeatable.
	Seed uint64
	// LinkRate is the budget of bytes a second that the daemons of the region
	// share for calls across the regional link; 0 permits no call across.
	LinkRate int64
	// Ratio bounds retries and hedges for each caller and target.
	Ratio retry.RatioConfig
}

// Feedback is what an answer said of the daemon that guards its target.
type Feedback struct {
	Threshold admit.Threshold
	Short     pick.Lane
	Long      pick.Lane
	Leaving   bool
	Stamp     ticket.Stamp
}

// Table chooses targets for calls. It is safe for concurrent use.
type Table struct {
	cfg Config

	// link is shared by the pickers of all services.
	link *pick.Bucket

	mu       sync.RWMutex
	services map[string]*service

	stampMu sync.RWMutex
	stamps  map[string]ticket.Stamp

	budgetMu sync.Mutex
	budgets  *retry.Ratios
}

// service is the picker of one service, with the view that its candidates
// were made from and the targets whose own answers said that they are leaving.
type service struct {
	mu        sync.Mutex
	picker    *pick.Picker
	builtFrom *view.View
	// leavingChanged says that leaving has changed since the candidates were made.
	leavingChanged bool
	leaving        map[string]leavingNotice
}

// leavingNotice is a target's own word that it is leaving.
type leavingNotice struct {
	// incarnation is that of the daemon that said so.
	incarnation uint64
	// viewIncarnation is the one that the view showed then, which may be an older one.
	viewIncarnation uint64
}

// New returns a table that knows no service.
func New(cfg Config, now clock.Milli) *Table {
	t := &Table{
		cfg:      cfg,
		services: make(map[string]*service),
		stamps:   make(map[string]ticket.Stamp),
		budgets: retry.NewRatios(retry.RatiosConfig{
			Ratio: cfg.Ratio,
		}, now),
	}
	if cfg.LinkRate > 0 {
		t.link = pick.NewBucket(linkRateShare(cfg.LinkRate, 1))
	}
	return t
}

const (
	// burstSeconds is the time for which a share of the link is saved up.
	burstSeconds = 2
	// minBurstBytes lets a small share carry a call of usual size, in bytes.
	minBurstBytes = 32 << 10
)

// linkRateShare returns the rate and the burst of one of n daemons.
func linkRateShare(rate int64, n int) (share, burst int64) {
	share = max(rate/int64(max(n, 1)), 1)
	return share, max(burstSeconds*share, minBurstBytes)
}

// ShareLink divides the budget of the regional link by the number of daemons
// in the region that are alive, this one included.
func (t *Table) ShareLink(now clock.Milli, daemons int) {
	if t.link == nil {
		return
	}
	rate, burst := linkRateShare(t.cfg.LinkRate, daemons)
	t.link.SetRate(now, rate, burst)
}

// Choose returns a target of the operation's service. The error is a
// [*pick.Error].
func (t *Table) Choose(now clock.Milli, v *view.View, service string, q pick.Query) (pick.Choice, error) {
	s := t.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(v, service)
	return s.picker.Choose(now, q)
}

// AllWouldRefuse reports whether every target of the service would refuse a request
// of this rank.
func (t *Table) AllWouldRefuse(now clock.Milli, v *view.View, op *rules.Op, importance rules.Importance, order uint64) bool {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(v, op.Service)
	return s.picker.Doomed(now, op.Path, importance, order)
}

// MinThreshold returns the least threshold that the targets of the operation state.
func (t *Table) MinThreshold(now clock.Milli, op *rules.Op) admit.Threshold {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.MinThreshold(now, op.Path)
}

// HedgeDelay returns how long to wait for the operation before a second attempt is
// worth its cost, 0 while that is not known.
func (t *Table) HedgeDelay(op *rules.Op) clock.Milli {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.HedgeDelay(op.Path)
}

// Started records that a call was sent to the target. The flight returned
// stands for the call until Finished.
func (t *Table) Started(now clock.Milli, op *rules.Op, target string) pick.Call {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Started(now, target, op.Path)
}

// Finished records that the call of f ended.
func (t *Table) Finished(now clock.Milli, op *rules.Op, f pick.Call, outcome pick.Outcome) {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Finished(now, f, outcome)
}

// Learn takes in what an answer said of the daemon that guards the target.
func (t *Table) Learn(now clock.Milli, op *rules.Op, target string, feedback Feedback) {
	t.LearnStamp(target, feedback.Stamp)
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ReportThreshold(now, target, op.Path, feedback.Threshold)
	s.picker.ReportLoad(now, target, pick.LoadReport{
		Short: feedback.Short,
		Long:  feedback.Long,
	})
	if feedback.Leaving && s.leaving[target].incarnation != feedback.Stamp.Incarnation {
		notice := leavingNotice{
			incarnation: feedback.Stamp.Incarnation,
		}
		if s.builtFrom != nil {
			notice.viewIncarnation = s.builtFrom.Members[target].Incarnation
		}
		s.leaving[target] = notice
		// The candidates are made anew by the next choice.
		s.leavingChanged = true
	}
}

// LearnStamp takes in the stamp of the guard of a target. An older generation
// of the same incarnation is ignored.
func (t *Table) LearnStamp(target string, stamp ticket.Stamp) {
	if stamp.Incarnation == 0 {
		return
	}
	t.stampMu.RLock()
	old := t.stamps[target]
	t.stampMu.RUnlock()
	if old.Incarnation == stamp.Incarnation && old.Generation >= stamp.Generation {
		return
	}
	t.stampMu.Lock()
	t.stamps[target] = stamp
	t.stampMu.Unlock()
}

// LearnIncarnation takes in the incarnation that the control messages of a
// daemon show. Incarnations of one host grow with time, so an older one than
// its answers have shown is ignored.
func (t *Table) LearnIncarnation(target string, incarnation uint64) {
	if incarnation > t.Stamp(target).Incarnation {
		t.LearnStamp(target, ticket.Stamp{
			Incarnation: incarnation,
			Generation:  1,
		})
	}
}

// Stamp returns the newest known stamp of the guard of a target, the zero
// stamp while none is known.
func (t *Table) Stamp(target string) ticket.Stamp {
	t.stampMu.RLock()
	defer t.stampMu.RUnlock()
	return t.stamps[target]
}

// TakeRetry takes one extra attempt of the caller at the service's targets
// and reports whether the budget had one.
func (t *Table) TakeRetry(now clock.Milli, caller, service string) bool {
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	return t.budgets.Take(now, retry.Pair{
		Caller: caller,
		Target: service,
	})
}

// budgetIdleTime is how long the budget of a caller at a service is kept unused.
const budgetIdleTime = 10 * clock.Minute

// Sweep forgets budgets that nobody has used for a while.
func (t *Table) Sweep(now clock.Milli) {
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	t.budgets.Sweep(now, budgetIdleTime)
}

// Succeeded records a successful first attempt of the caller.
func (t *Table) Succeeded(now clock.Milli, caller, service string) {
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	t.budgets.Success(now, retry.Pair{
		Caller: caller,
		Target: service,
	})
}

func (t *Table) service(name string) *service {
	t.mu.RLock()
	s, ok := t.services[name]
	t.mu.RUnlock()
	if ok {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[name]; ok {
		return s
	}
	s = &service{
		picker: pick.New(pick.Config{
			Region:     t.cfg.Region,
			Centre:     t.cfg.Centre,
			Seed:       t.cfg.Seed + uint64(len(t.services)),
			LinkBudget: t.link,
		}),
		leaving: make(map[string]leavingNotice),
	}
	t.services[name] = s
	return s
}

// refresh makes the candidates anew when the view has changed.
func (s *service) refresh(v *view.View, name string) {
	if (s.builtFrom == v && !s.leavingChanged) || v.Rules == nil {
		return
	}
	s.builtFrom = v
	s.leavingChanged = false
	targets := v.Rules.Targets(name)
	candidates := make([]pick.Candidate, 0, len(targets))
	for _, target := range targets {
		m := v.Members[target.Name]
		candidates = append(candidates, pick.Candidate{
			Name:    target.Name,
			Region:  target.Region,
			Centre:  target.Centre,
			Slots:   target.Slots,
			Leaving: target.Leaving || m.Leaving || m.Dead || s.isLeaving(target.Name, m),
			Started: m.AliveSince,
		})
	}
	s.picker.SetTargets(candidates)
}

// isLeaving reports whether the target itself said that it is leaving. Another
// run of its daemon clears the mark, but not one that the view showed already
// when the target said so: the view lags.
func (s *service) isLeaving(name string, m view.Member) bool {
	notice, ok := s.leaving[name]
	if !ok {
		return false
	}
	if m.Incarnation != 0 && m.Incarnation != notice.incarnation && m.Incarnation != notice.viewIncarnation {
		delete(s.leaving, name)
		return false
	}
	return true
}
