package agent

import (
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// peerWait is how long a daemon whose service answered waits for a peer.
	peerWait = 1500 * clock.Millisecond
	// serviceWait is how long a daemon that heard a peer waits for the service.
	serviceWait = 3 * clock.Second
	// askInterval is the time between two rounds of questions to peers.
	askInterval = 500 * clock.Millisecond
	// askedPeers is the number of peers asked in a round.
	askedPeers = 3
)

// asking is the state of asking the service and the peers what is newest,
// after a start and after a pause.
type asking struct {
	done  bool
	since clock.Milli
	next  clock.Milli
	// heard holds the peers that sent a message since then, enough of them.
	heard map[string]bool
	// answers is the number of the service's answers at that time.
	answers int
}

func newAsking(now clock.Milli, answers int) asking {
	return asking{
		heard:   make(map[string]bool),
		since:   now,
		next:    now,
		answers: answers,
	}
}

// ask asks peers for their views until both sides have answered. The reads of
// the service are the store's work.
func (a *Agent) ask(now clock.Milli) {
	if a.asking.done {
		return
	}
	if a.isAnswered(now) {
		a.asking.done = true
		a.dirty = true
		a.serve(now)
		return
	}
	if a.hasHeard(0) || now < a.asking.next {
		return
	}
	a.asking.next = now + askInterval
	for range askedPeers {
		if to := a.node.JoinTarget(); to != "" {
			a.node.Join(now, to)
		}
	}
}

// isAnswered reports whether the agent holds the newest value that it can
// learn of: the service and a peer were heard, or waited for in vain.
func (a *Agent) isAnswered(now clock.Milli) bool {
	if a.store.Current().Version == 0 || a.store.Behind() {
		return false
	}
	waited := now - a.asking.since
	succeeded, _ := a.store.ReadCounts()
	if succeeded > a.asking.answers {
		return a.hasHeard(waited) || waited >= peerWait
	}
	return a.hasHeard(waited) && waited >= serviceWait
}

// hear notes that a peer sent a message.
func (a *Agent) hear(from string) {
	if !a.asking.done && len(a.asking.heard) < askedPeers {
		a.asking.heard[from] = true
	}
}

// hasHeard reports whether enough peers were heard: one may itself be new, so
// several are better, but after a while one must do.
func (a *Agent) hasHeard(waited clock.Milli) bool {
	n := len(a.asking.heard)
	return n > 0 && (n >= min(askedPeers, a.node.Size()-1) || waited >= peerWait)
}

func (a *Agent) serve(now clock.Milli) {
	if a.ready {
		return
	}
	a.ready = true
	a.report(Event{
		Kind:  BecameReady,
		At:    now,
		Host:  a.cfg.Self.Host,
		Value: a.store.Current().Meta,
	})
}
