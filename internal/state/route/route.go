// Package route holds what the outbound side of a daemon knows of each service:
// a picker that chooses among its targets, the retry budgets of the callers,
// and the guards' stamps for minting tickets.
//
// A [Table] combines what the daemon observed on its own calls with the
// published view of the fleet. Each service has its own lock, so that calls to
// one service do not wait for calls to another.
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

// Config configures a Table.
type Config struct {
	// Region and Centre are the region and the data centre of the daemon.
	Region string
	Centre string
	// Seed seeds the random choices, so that a run can be repeated.
	Seed uint64
	// LinkRate is the bandwidth, in bytes a second, that all daemons of the
	// region together may use for calls to other regions; 0 permits no such
	// call.
	LinkRate int64
	// Ratio configures the retry budget, which bounds retries and hedges, of
	// each caller at each service.
	Ratio retry.RatioConfig
}

// Feedback is what an answer carries about the daemon that guards its target.
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

// service is the picker of one service, with the view that its candidates were
// built from and the targets whose own answers reported that they are leaving.
type service struct {
	mu        sync.Mutex
	picker    *pick.Picker
	builtFrom *view.View
	// leavingChanged says that leaving has changed since the candidates were
	// built.
	leavingChanged bool
	leaving        map[string]leavingNotice
}

// leavingNotice records that an answer of a target reported that it is leaving.
type leavingNotice struct {
	// incarnation is the incarnation of the daemon that sent the answer.
	incarnation uint64
	// viewIncarnation is the incarnation that the view showed at that time,
	// which may be an older one.
	viewIncarnation uint64
}

// New returns a table without any service; services are added when they are
// first used.
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
	// burstSeconds is how many seconds of its link rate a daemon may save up.
	burstSeconds = 2
	// minBurstBytes lets even a small share of the link carry a call of usual
	// size.
	minBurstBytes = 32 << 10
)

// linkRateShare returns the rate and the burst of each of n daemons that share
// a link, in bytes a second and bytes.
func linkRateShare(rate int64, n int) (share, burst int64) {
	share = max(rate/int64(max(n, 1)), 1)
	return share, max(burstSeconds*share, minBurstBytes)
}

// ShareLink sets this daemon's share of the regional link's bandwidth, given
// the number of live daemons in the region including this one.
func (t *Table) ShareLink(now clock.Milli, daemons int) {
	if t.link == nil {
		return
	}
	rate, burst := linkRateShare(t.cfg.LinkRate, daemons)
	t.link.SetRate(now, rate, burst)
}

// Choose returns a target of the service for a call. The error is a
// [*pick.Error].
func (t *Table) Choose(now clock.Milli, v *view.View, service string, q pick.Query) (pick.Choice, error) {
	s := t.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(v, service)
	return s.picker.Choose(now, q)
}

// AllWouldRefuse reports whether every target of the operation's service would
// refuse a request with this importance and shedding rank.
func (t *Table) AllWouldRefuse(now clock.Milli, v *view.View, op *rules.Op, importance rules.Importance, order uint64) bool {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(v, op.Service)
	return s.picker.AllWouldRefuse(now, op.Path, importance, order)
}

// MinThreshold returns the lowest admission threshold that the targets of the
// operation announce.
func (t *Table) MinThreshold(now clock.Milli, op *rules.Op) admit.Threshold {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.MinThreshold(now, op.Path)
}

// HedgeDelay returns how long to wait for an answer of the operation before
// sending a hedge, or 0 while too few answers have been observed to tell.
func (t *Table) HedgeDelay(op *rules.Op) clock.Milli {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.HedgeDelay(op.Path)
}

// Started records that a call was sent to the target. The returned flight
// identifies the call for Finished.
func (t *Table) Started(now clock.Milli, op *rules.Op, target string) pick.Call {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Started(now, target, op.Path)
}

// Finished records that the call of f ended with outcome.
func (t *Table) Finished(now clock.Milli, op *rules.Op, f pick.Call, outcome pick.Outcome) {
	s := t.service(op.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Finished(now, f, outcome)
}

// Learn stores the feedback of an answer from the target.
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
		// The next Choose rebuilds the candidates.
		s.leavingChanged = true
	}
}

// LearnStamp stores a stamp of the guard of target. An older generation of the
// same incarnation is ignored, and so is a stamp without an incarnation.
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

// LearnIncarnation stores the incarnation in a control message of the target's
// daemon. Incarnations of one host grow with time, so one that is lower than
// the stored one is outdated and ignored.
func (t *Table) LearnIncarnation(target string, incarnation uint64) {
	if incarnation > t.Stamp(target).Incarnation {
		t.LearnStamp(target, ticket.Stamp{
			Incarnation: incarnation,
			Generation:  1,
		})
	}
}

// Stamp returns the latest known stamp of the guard of target, or the zero
// stamp.
func (t *Table) Stamp(target string) ticket.Stamp {
	t.stampMu.RLock()
	defer t.stampMu.RUnlock()
	return t.stamps[target]
}

// TakeRetry takes one extra attempt from the retry budget of the caller at the
// service, and reports whether there was one left.
func (t *Table) TakeRetry(now clock.Milli, caller, service string) bool {
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	return t.budgets.Take(now, retry.Pair{
		Caller: caller,
		Target: service,
	})
}

// budgetIdleTime is how long an unused retry budget is kept.
const budgetIdleTime = 10 * clock.Minute

// Sweep drops the retry budgets that have been unused for budgetIdleTime.
func (t *Table) Sweep(now clock.Milli) {
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	t.budgets.Sweep(now, budgetIdleTime)
}

// Succeeded records that a first attempt of the caller at the service
// succeeded, which adds to its retry budget.
func (t *Table) Succeeded(now clock.Milli, caller, service string) {
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	t.budgets.Success(now, retry.Pair{
		Caller: caller,
		Target: service,
	})
}

// service returns the service called name and adds it if it is new.
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

// refresh rebuilds the candidates if the view or the leaving notices have
// changed.
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

// isLeaving reports whether an answer of the target reported that it is
// leaving. The notice holds until the view shows another run of the target's
// daemon. The incarnation that the view showed when the notice arrived does not
// count as another run, because the view lags behind the answers.
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
