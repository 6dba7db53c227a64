// Package chain keeps the requests that run on the target beside this daemon,
// so that the target's deeper calls continue the chain that they belong to.
//
// A request gets a random token, which the daemon gives to the target with the
// request and which the target copies onto its deeper calls. Root id,
// importance, deadline and retry units are looked up here under the token
// instead of being read from the deeper call, so a target cannot raise them.
package chain

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"

	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	tokenBytes = 12
	// unknownCalls makes a purse lend half of its rest, because it is not
	// known how many deeper calls follow.
	unknownCalls = 2
	// maxCalls bounds the once-only deeper calls of one request.
	maxCalls = 1024
)

// ErrTooManyCalls is returned when the request made too many distinct once-only calls.
var ErrTooManyCalls = errors.New("chain: the request has too many deeper calls")

// Context is what a chain of calls shares.
type Context struct {
	Root       string
	RootHash   uint64
	Path       string
	Caller     string
	Importance rules.Importance
	Depth      int
	// Deadline is an instant on this host's clock.
	Deadline clock.Milli
}

// Request is one request in progress on the target beside this daemon. It is
// safe for concurrent use.
type Request struct {
	Context
	// Token identifies the request to the target.
	Token string

	mu     sync.Mutex
	purse  *retry.Budget
	calls  map[string]*Call
	closed bool
	// gone is closed once nobody waits for the request any more.
	gone      chan struct{}
	cancelled sync.Once
}

// Call is one once-only deeper call of a request. The daemon that made it is
// the only holder of its ticket.
type Call struct {
	mu sync.Mutex
	// Ticket is the sealed ticket of the newest attempt, empty before the first.
	Ticket string
	// Target is the target that the ticket names.
	Target string
	// NotRun says that the ticket was proved not-run and may be replaced.
	NotRun bool
}

// Lock gives the caller the call alone: a target that repeats a deeper call
// while the first is in progress waits here and then finds its ticket.
func (c *Call) Lock() { c.mu.Lock() }

// Unlock ends what Lock began.
func (c *Call) Unlock() { c.mu.Unlock() }

// Lend lends a deeper call its part of the units: half of the rest, rounded
// up, so that earlier calls leave some for later ones. Once the request has
// ended there are none.
func (r *Request) Lend() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return 0
	}
	return r.purse.Split(unknownCalls)
}

// Return takes back what a deeper call did not spend of its share. Units that
// come back after the request has ended count as spent.
func (r *Request) Return(share, unspent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.purse.Return(share, unspent)
	}
}

// Cancel says that nobody waits for the request any more. Its deeper calls
// are given up.
func (r *Request) Cancel() { r.cancelled.Do(func() { close(r.gone) }) }

// Cancelled returns the channel that Cancel closes.
func (r *Request) Cancelled() <-chan struct{} { return r.gone }

// IsCancelled reports whether Cancel was called.
func (r *Request) IsCancelled() bool {
	select {
	case <-r.gone:
		return true
	default:
		return false
	}
}

// Call returns the record of the once-only deeper call with the given key.
func (r *Request) Call(key string) (*Call, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.calls[key]; ok {
		return c, nil
	}
	if len(r.calls) >= maxCalls {
		return nil, ErrTooManyCalls
	}
	if r.calls == nil {
		r.calls = make(map[string]*Call)
	}
	c := &Call{}
	r.calls[key] = c
	return c, nil
}

// HasCall reports whether the once-only deeper call with the given key has a
// record.
func (r *Request) HasCall(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.calls[key]
	return ok
}

// Table holds the requests in progress. It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	requests map[string]*Request
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		requests: make(map[string]*Request),
	}
}

// Add starts a request with a number of retry units.
func (t *Table) Add(c Context, units int) (*Request, error) {
	var raw [tokenBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return nil, fmt.Errorf("chain: draw a token: %w", err)
	}
	r := &Request{
		Context: c,
		Token:   hex.EncodeToString(raw[:]),
		purse:   retry.NewBudget(units),
		gone:    make(chan struct{}),
	}
	t.mu.Lock()
	t.requests[r.Token] = r
	t.mu.Unlock()
	return r, nil
}

// Find returns the request in progress with the given token.
func (t *Table) Find(token string) (*Request, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.requests[token]
	return r, ok
}

// End removes r and returns the units that it did not spend.
func (t *Table) End(r *Request) int {
	t.mu.Lock()
	delete(t.requests, r.Token)
	t.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.purse.Units()
}

// Len returns the number of requests in progress.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.requests)
}
