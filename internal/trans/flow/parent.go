package flow

import (
	"strings"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Parent is a request at the target as its own calls inherit from it.
type Parent struct {
	Path       string
	Importance rules.Importance
	Root       uint64
	Depth      int
	// Repeat says that the run is a repeat, and so are its calls.
	Repeat bool
	// callFailed says that one of its calls callFailed.
	callFailed atomic.Bool
}

// addRunning records that a request is at the target.
func (n *Inbound) addRunning(id string, hop peer.Hop) *Parent {
	p := &Parent{
		Path:       hop.Path,
		Importance: hop.Importance,
		Root:       hop.RootHash,
		Depth:      hop.Depth,
		Repeat:     hop.Repeat,
	}
	n.runningMu.Lock()
	defer n.runningMu.Unlock()
	n.running[id] = p
	return p
}

func (n *Inbound) removeRunning(id string) {
	n.runningMu.Lock()
	defer n.runningMu.Unlock()
	delete(n.running, id)
}

// Parent returns the request at the target that made the call of the id, nil
// if there is none. A target derives the ids of its calls from that of the
// request that it runs, with a dot between the parts. Only the order of work
// and the number of repeats rest on this.
func (n *Inbound) Parent(id string) *Parent {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil
	}
	n.runningMu.Lock()
	defer n.runningMu.Unlock()
	return n.running[id[:dot]]
}
