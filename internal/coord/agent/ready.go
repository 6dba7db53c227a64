package agent

import (
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// peerWait is how long a daemon whose service answered waits for a peer.
	peerWait = 1500 * clock.Millisecond
	// serviceWait is how long a daemon that heard a peer waits for the service.
	serviceWait = 3 * clock.Second
	// joinInterval is the time between two rounds of questions to peers.
	joinInterval = 500 * clock.Millisecond
	// joinPeers is the number of peers asked in a round.
	joinPeers = 3
)

// resyncState is the state of resyncState the service and the peers what is newest,
// after a start and after a pause.
type resyncState struct {
	done      bool
	startedAt clock.Milli
	nextRound clock.Milli
	// heardPeers holds the peers that sent a message since then, enough of them.
	heardPeers map[string]bool
	// readsBefore is the number of the service's readsBefore at that time.
	readsBefore int
}

func newResync(now clock.Milli, readsBefore int) resyncState {
	return resyncState{
		heardPeers:  make(map[string]bool),
		startedAt:   now,
		nextRound:   now,
		readsBefore: readsBefore,
	}
}

// stepResync asks peers for their views until both sides have answered. The reads of
// the service are the store's work.
func (a *Agent) stepResync(now clock.Milli) {
	if a.resync.done {
		return
	}
	if a.isResynced(now) {
		a.resync.done = true
		a.dirty = true
		a.becomeReady(now)
		return
	}
	if a.hasHeardEnough(0) || now < a.resync.nextRound {
		return
	}
	a.resync.nextRound = now + joinInterval
	for range joinPeers {
		if to := a.node.JoinTarget(); to != "" {
			a.node.Join(now, to)
		}
	}
}

// isResynced reports whether the agent holds the newest value that it can
// learn of: the service and a peer were heard, or waited for in vain.
func (a *Agent) isResynced(now clock.Milli) bool {
	if a.store.Current().Version == 0 || a.store.Behind() {
		return false
	}
	waited := now - a.resync.startedAt
	succeeded, _ := a.store.ReadCounts()
	if succeeded > a.resync.readsBefore {
		return a.hasHeardEnough(waited) || waited >= peerWait
	}
	return a.hasHeardEnough(waited) && waited >= serviceWait
}

// recordPeer notes that a peer sent a message.
func (a *Agent) recordPeer(from string) {
	if !a.resync.done && len(a.resync.heardPeers) < joinPeers {
		a.resync.heardPeers[from] = true
	}
}

// hasHeardEnough reports whether enough peers were heard: one may itself be new, so
// several are better, but after a while one must do.
func (a *Agent) hasHeardEnough(waited clock.Milli) bool {
	n := len(a.resync.heardPeers)
	return n > 0 && (n >= min(joinPeers, a.node.Size()-1) || waited >= peerWait)
}

func (a *Agent) becomeReady(now clock.Milli) {
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
