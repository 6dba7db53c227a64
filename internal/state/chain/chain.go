// Package chain holds the requests in progress on the target beside this
// daemon, so that the downstream calls that the target makes for a request
// continue its chain of calls.
//
// The daemon gives the target a random token with each request, and the target
// copies the token onto its downstream calls. The daemon looks up root id,
// importance, deadline and retry units under the token instead of reading them
// from the downstream call, so a target cannot raise them.
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
	// assumedCalls is the number of downstream calls passed to
	// [retry.Budget.Split]. The real number is not known, so each downstream
	// call is lent half of the units left.
	assumedCalls = 2
	// maxNonIdempotentCalls bounds the non-idempotent downstream calls of one
	// request.
	maxNonIdempotentCalls = 1024
)

// ErrTooManyCalls is returned when a request made too many distinct
// non-idempotent downstream calls.
var ErrTooManyCalls = errors.New("chain: the request has too many non-idempotent downstream calls")

// Context is the part of a request that all calls of its chain share.
type Context struct {
	Root string
	// RootHash is the hash of Root, which ranks requests of equal importance.
	RootHash   uint64
	Path       string
	Caller     string
	Importance rules.Importance
	Depth      int
	// Deadline is an instant on this host's clock.
	Deadline clock.Milli
}

// Request is a request in progress on the target beside this daemon. It is
// safe for concurrent use.
type Request struct {
	Context
	// Token identifies the request to the target.
	Token string

	mu     sync.Mutex
	budget *retry.Budget
	calls  map[string]*Call
	ended  bool
	// cancelled is closed by Cancel.
	cancelled  chan struct{}
	cancelOnce sync.Once
}

// Call is the record of one non-idempotent downstream call of a request. Only
// the daemon that made the call holds its ticket.
type Call struct {
	mu sync.Mutex
	// Ticket is the sealed ticket of the newest attempt, empty before the
	// first.
	Ticket string
	// Target is the target named by the ticket.
	Target string
	// NotRun reports that the call of the ticket is proved not to have run, so
	// that the ticket may be replaced.
	NotRun bool
}

// Lock gives the caller exclusive use of the record. If a target repeats a
// downstream call while the first one is in progress, the second one waits here
// and then finds the ticket of the first.
func (c *Call) Lock() { c.mu.Lock() }

// Unlock releases the lock taken by Lock.
func (c *Call) Unlock() { c.mu.Unlock() }

// Lend takes out the retry units of one downstream call: half of the units
// left, rounded up, so that later calls get some as well. It returns 0 once the
// request has ended.
func (r *Request) Lend() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0
	}
	return r.budget.Split(assumedCalls)
}

// Return puts back the units of a share that a downstream call did not spend.
// Units returned after the request has ended count as spent.
func (r *Request) Return(share, unspent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.budget.Return(share, unspent)
	}
}

// Cancel records that nobody waits for the request any more, so that its
// downstream calls are given up. It may be called more than once.
func (r *Request) Cancel() { r.cancelOnce.Do(func() { close(r.cancelled) }) }

// Cancelled returns the channel that Cancel closes.
func (r *Request) Cancelled() <-chan struct{} { return r.cancelled }

// IsCancelled reports whether Cancel was called.
func (r *Request) IsCancelled() bool {
	select {
	case <-r.cancelled:
		return true
	default:
		return false
	}
}

// Call returns the record of the non-idempotent downstream call with the given
// key. It creates the record on first use and returns [ErrTooManyCalls] if the
// request has too many.
func (r *Request) Call(key string) (*Call, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.calls[key]; ok {
		return c, nil
	}
	if len(r.calls) >= maxNonIdempotentCalls {
		return nil, ErrTooManyCalls
	}
	if r.calls == nil {
		r.calls = make(map[string]*Call)
	}
	c := &Call{}
	r.calls[key] = c
	return c, nil
}

// HasCall reports whether the non-idempotent downstream call with the given key
// has a record.
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

// Add adds a request with a number of retry units and draws its token.
func (t *Table) Add(c Context, units int) (*Request, error) {
	var raw [tokenBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return nil, fmt.Errorf("chain: draw a token: %w", err)
	}
	r := &Request{
		Context:   c,
		Token:     hex.EncodeToString(raw[:]),
		budget:    retry.NewBudget(units),
		cancelled: make(chan struct{}),
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

// End removes r and returns the retry units that it did not spend.
func (t *Table) End(r *Request) int {
	t.mu.Lock()
	delete(t.requests, r.Token)
	t.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return r.budget.Units()
}

// Len returns the number of requests in progress.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.requests)
}
