package outbnd

import (
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// maxIDBytes bounds an idempotency key.
	maxIDBytes = 100
	// traceIDDigits is the length of a W3C trace id in hexadecimal digits.
	traceIDDigits = 32
	bearer        = "Bearer "
)

// call is one call with its deadline and the rest of its retry budget.
type call struct {
	view *view.View
	op   *rules.Op
	path string
	// key is the caller's idempotency key, empty if none was sent.
	key string
	// id is the id of the request: the one in its ticket if it has a ticket,
	// else the idempotency key, else a random one.
	id         string
	caller     string
	importance rules.Importance
	root       string
	rootHash   uint64
	depth      int
	start      clock.Milli
	deadline   clock.Milli
	// parent is the request that made this downstream call, nil for a root
	// call.
	parent *chain.Request

	// header, uri and body are copies of the caller's request, the header
	// without the stripped fields. They are not changed after readBody, since
	// concurrent attempts read them.
	header *fasthttp.RequestHeader
	uri    []byte
	body   []byte
	digest uint64

	// mu guards the fields below it up to triedTargets, which concurrent
	// attempts share.
	mu        sync.Mutex
	budget    *retry.Budget
	lentUnits int
	attempts  int
	// triedTargets holds the targets of the attempts, separated by spaces.
	triedTargets string

	target string
}

// cancelled returns the channel that is closed when the parent request is
// cancelled, nil for a root call.
func (c *call) cancelled() <-chan struct{} {
	if c.parent == nil {
		return nil
	}
	return c.parent.Cancelled()
}

// isCancelled reports whether the parent request was cancelled.
func (c *call) isCancelled() bool { return c.parent != nil && c.parent.IsCancelled() }

// returnBudget gives the call's unspent retry units back to the parent request.
// It does nothing for a root call.
func (c *call) returnBudget() {
	if c.parent == nil || c.budget == nil {
		return
	}
	c.mu.Lock()
	unspent := c.budget.Units()
	c.mu.Unlock()
	c.parent.Return(c.lentUnits, unspent)
}

// lendUnits takes the retry units that go with one attempt to the target.
func (c *call) lendUnits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Split(budgetShares)
}

// budgetShares splits the retry units evenly between the attempts made here and
// the downstream calls of the target.
const budgetShares = 2

// returnUnits takes back the units that an attempt did not spend of those lent
// to it.
func (c *call) returnUnits(lent, unspent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Return(lent, unspent)
}

// spendUnit takes one retry unit for an extra attempt and reports whether there
// was one.
func (c *call) spendUnit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Spend(1)
}

// recordAttempt counts an attempt at a target. The first attempt allocates
// nothing.
func (c *call) recordAttempt(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if c.attempts == 1 {
		c.triedTargets = target
		return
	}
	c.triedTargets += " " + target
}

// attemptTargets returns the number of attempts and, if there were several,
// their targets.
func (c *call) attemptTargets() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts < 2 {
		return c.attempts, ""
	}
	return c.attempts, c.triedTargets
}

func addrOf(t *rules.Target) string {
	return net.JoinHostPort(t.Host, strconv.Itoa(t.Inbound))
}

func problem(p refuse.Problem) *refuse.Problem { return &p }
