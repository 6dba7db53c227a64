package flow

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// loggedLimitParts is the part of the slots by which a learned limit must change
	// to be logged, at most once in logLimitEvery.
	loggedLimitParts = 16
	logLimitEvery    = clock.Second
	// maxExpectedWait bounds the wait that is expected at a target.
	maxExpectedWait = clock.Minute
)

// learnLog is what was logged of what the gate learned of the target.
type learnLog struct {
	// limit is the limit logged last, 0 if none was.
	limit  int
	at     clock.Milli
	isSlow bool
}

// logLearned logs changes of what the gate has learned of the target.
func (n *Inbound) logLearned(now clock.Milli) {
	n.mu.Lock()
	gate, learns, slots := n.gate, n.learn, max(n.targetRecord.Slots, 1)
	last := n.learnLog
	n.mu.Unlock()
	if !learns {
		return
	}
	st := gate.Stats()
	next := last.after(now, &st, slots)
	if next == last {
		return
	}
	n.mu.Lock()
	n.learnLog = next
	n.mu.Unlock()
	fields := []zap.Field{
		zap.Int("limit", st.Learned.Limit),
		zap.Int("slots", slots),
		zap.Float64("speed", st.Learned.Speed),
		zap.Float64("throughput", st.Learned.Throughput),
	}
	if next.limit != last.limit && last.limit > 0 {
		event.Info(n.cfg.Log, event.LimitLearned, fields...)
	}
	switch {
	case next.isSlow && !last.isSlow:
		event.Warn(n.cfg.Log, event.TargetSlow, fields...)
	case last.isSlow && !next.isSlow:
		event.Info(n.cfg.Log, event.TargetUsual, fields...)
	}
}

// after returns what is logged once st is.
func (l learnLog) after(now clock.Milli, st *admit.Stats, slots int) learnLog {
	l.isSlow = st.Learned.IsSlow
	change := st.Learned.Limit - l.limit
	if l.limit == 0 || max(change, -change)*loggedLimitParts >= slots && now-l.at >= logLimitEvery {
		l.limit = st.Learned.Limit
		l.at = now
	}
	return l
}

// takeStatement passes on what the target stated about its load.
func (n *Inbound) takeStatement(value string) {
	if value == "" {
		return
	}
	n.mu.Lock()
	gate, learns := n.gate, n.learn
	n.mu.Unlock()
	if !learns {
		return
	}
	if s, ok := n.cfg.Statement(value); ok {
		gate.Hint(s)
	}
}

// takeRoom reads and removes what another daemon has learned of its target. A value
// that cannot be read counts as none.
func takeRoom(fields []guard.Field) (peer.Room, []guard.Field) {
	value := http1.Get(fields, peer.HeaderRoom)
	if value == "" {
		return peer.Room{}, fields
	}
	r, _ := peer.ParseRoom(value)
	return r, http1.WithoutField(fields, peer.HeaderRoom)
}

// expectedWait returns how long one more request is expected to wait for a slot of a
// target, 0 if that is unknown.
func expectedWait(fb *peer.Feedback) clock.Milli {
	ahead := fb.Running + 1 - fb.Limit
	if fb.Room.Throughput <= 0 || ahead <= 0 {
		return 0
	}
	return clock.Milli(min(float64(ahead)/fb.Room.Throughput*float64(clock.Second), float64(maxExpectedWait)))
}
