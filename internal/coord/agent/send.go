package agent

import (
	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// recordInterval is the minimum time between two flushes while only member
	// records are waiting, flushInterval the one while marks or a value are,
	// and urgentInterval the one after a new mark or a new active value.
	recordInterval = 400 * clock.Millisecond
	flushInterval  = 200 * clock.Millisecond
	urgentInterval = 50 * clock.Millisecond
	// marksInterval is the minimum time between two answers with all marks.
	marksInterval = 2 * clock.Second
)

// send adds the data that every message carries and sends the message.
func (a *Agent) send(now clock.Milli, to string, m Message) {
	m.Incarnation = a.cfg.Incarnation
	m.Member = a.node.Piggyback(now, to, m.Member)
	if m.Marks == nil {
		m.Marks = a.leaving.Updates(now)
	}
	if isPing(m) {
		m.MarksDigest = a.leaving.Digest()
	}
	m.Spread.Offer = a.store.Offer(now)
	a.cfg.Send(to, m)
}

func (a *Agent) sendMember(now clock.Milli, to string, p member.Part) {
	a.send(now, to, Message{
		Member: p,
	})
}

func (a *Agent) sendSpread(now clock.Milli, to string, p spread.Part) {
	a.send(now, to, Message{
		Spread: p,
	})
}

func isPing(m Message) bool { return m.Member.Probe != nil && m.Member.Probe.Kind == member.Ping }

// answerMarksDigest sends all marks to a host whose ping had a different
// digest of them, at most once every marksInterval.
func (a *Agent) answerMarksDigest(now clock.Milli, from string, m Message) {
	if !isPing(m) || m.MarksDigest == a.leaving.Digest() || now-a.lastMarksReply < marksInterval {
		return
	}
	a.lastMarksReply = now
	a.sendMarks(now, from)
}

// sendMarks sends all marks, up to the limit of a message, to a host.
func (a *Agent) sendMarks(now clock.Milli, to string) {
	marks := a.leaving.Marks(now)
	if len(marks) == 0 {
		return
	}
	a.send(now, to, Message{
		Marks: marks[:min(len(marks), leave.MaxMarks)],
	})
}

// flush sends pending updates to a few hosts if the interval for them has
// passed.
func (a *Agent) flush(now clock.Milli) {
	if !a.urgent && !a.node.HasUpdates() && !a.leaving.HasUpdates() && !a.store.HasUpdates() {
		return
	}
	wait := recordInterval
	if a.leaving.HasUpdates() || a.store.HasUpdates() {
		wait = flushInterval
	}
	if a.urgent {
		wait = urgentInterval
	}
	if now-a.lastFlush < wait {
		return
	}
	a.urgent = false
	a.lastFlush = now
	transfer := a.store.NextPush()
	for _, to := range a.node.GossipPeers() {
		a.send(now, to, Message{
			Spread: spread.Part{
				Transfer: transfer,
			},
		})
	}
}
