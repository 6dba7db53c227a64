package agent

import (
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// peerWait is how long a daemon waits for peers after the service answered.
	peerWait = 1500 * clock.Millisecond
	// serviceWait is how long a daemon waits for the service after peers
	// answered.
	serviceWait = 3 * clock.Second
	// joinInterval is the time between two rounds of requests to peers.
	joinInterval = 500 * clock.Millisecond
	// joinPeers is the number of peers asked in a round.
	joinPeers = 3
)

// resyncState is the progress of asking the service and the peers for the
// newest data, after the start and after a pause.
type resyncState struct {
	done      bool
	startedAt clock.Milli
	nextRound clock.Milli
	// heardPeers holds up to joinPeers peers that have sent a message since
	// startedAt.
	heardPeers map[string]bool
	// readsBefore is the number of reads that had succeeded by startedAt.
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

// stepResync requests the views of peers until the resync is done. The store
// reads the service by itself.
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
// learn of: the service and enough peers have answered, or the wait for the
// missing side is over.
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

// recordPeer records that a peer sent a message.
func (a *Agent) recordPeer(from string) {
	if !a.resync.done && len(a.resync.heardPeers) < joinPeers {
		a.resync.heardPeers[from] = true
	}
}

// hasHeardEnough reports whether enough peers have sent messages. A peer may
// itself have just started, so several are required, but after peerWait one is
// enough.
func (a *Agent) hasHeardEnough(waited clock.Milli) bool {
	n := len(a.resync.heardPeers)
	return n > 0 && (n >= min(joinPeers, a.node.Size()-1) || waited >= peerWait)
}

// becomeReady makes the agent ready for good.
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
