package flow

import (
	"strings"
	"sync"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parent is a request in progress at the target. The calls that the target
// makes for it inherit these values.
type Parent struct {
	Path       string
	Importance rules.Importance
	Root       uint64
	Depth      int
	// Repeat reports that the request is a retry, or a call made by one. Its own
	// calls count as retries too.
	Repeat bool
	// Account is the name of the client account, "" if there is none.
	Account string
	// needs are the calls to overloaded services that it has needed so far, of
	// itself and of its calls. The mutex of [rooms] guards them.
	needs []room.Need
	// callFailed is set when one of its calls failed.
	callFailed atomic.Bool
	calls      callTime
}

// callTime measures the time in which at least one call of a request is in progress.
// The zero value is ready for use, and safe for concurrent use.
type callTime struct {
	mu         sync.Mutex
	inProgress int
	since      clock.Milli
	total      clock.Milli
}

// begin records the begin of a call.
func (c *callTime) begin(now clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress == 0 {
		c.since = now
	}
	c.inProgress++
}

// end records the end of a call.
func (c *callTime) end(now clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	if c.inProgress == 0 {
		c.total += now - c.since
	}
}

// until returns the time up to now.
func (c *callTime) until(now clock.Milli) clock.Milli {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress == 0 {
		return c.total
	}
	return c.total + now - c.since
}

// addRunning records that a request is in progress at the target.
func (n *Inbound) addRunning(id, account string, hop peer.Hop) *Parent {
	p := &Parent{
		Path:       hop.Path,
		Importance: hop.Importance,
		Root:       hop.RootHash,
		Depth:      hop.Depth,
		Repeat:     hop.Repeat,
		Account:    account,
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

// isCallID reports whether an id has the form of a call's.
func isCallID(id string) bool { return strings.LastIndexByte(id, '.') >= 0 }

// parentOf returns the request in progress that made a call, nil for a caller's
// request. Targets get no keys, so a request with one is a caller's, whatever its id.
func (o *Outbound) parentOf(r *http1.Request, id string) *Parent {
	if r.Get(o.cfg.Headers.Key) != "" {
		return nil
	}
	return o.local.Parent(id)
}

// Parent returns the request in progress that made the call with the id, or nil
// if there is none. A target derives the id of a call from the id of the
// request that it runs by appending a dot and another part. Targets may break
// this rule: shedding ranks, the number of retries and, where client accounts are in
// force, the account of the call depend on it.
func (n *Inbound) Parent(id string) *Parent {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil
	}
	n.runningMu.Lock()
	defer n.runningMu.Unlock()
	return n.running[id[:dot]]
}
