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
	// maxID bounds the caller's own id of a request, in bytes.
	maxID = 100
	// traceLen is the length of a W3C trace id in hexadecimal.
	traceLen = 32
	bearer   = "Bearer "
)

// call is one resolved call with what is left of its means.
type call struct {
	view *view.View
	op   *rules.Op
	path string
	// key is the idempotency key that the call came with, empty without one.
	key string
	// id is the id of the request: its ticket's where it has one, else the
	// key, else drawn.
	id         string
	caller     string
	importance rules.Importance
	root       string
	order      uint64
	depth      int
	start      clock.Milli
	deadline   clock.Milli
	// parent is the request that the call belongs to, nil for a root call.
	parent *chain.Request

	// header is that of the caller's request without hop-only fields, uri and
	// body are the rest. Attempts that run side by side copy them; nothing
	// changes them.
	header *fasthttp.RequestHeader
	uri    []byte
	body   []byte
	digest uint64

	// mu guards what follows, which attempts that run side by side share.
	mu       sync.Mutex
	purse    *retry.Budget
	share    int
	attempts int
	// tried names the targets of the attempts, parted by spaces.
	tried string

	taken string
}

// gone returns the channel that is closed when the request that the call
// belongs to is given up, nil for a root call.
func (c *call) gone() <-chan struct{} {
	if c.parent == nil {
		return nil
	}
	return c.parent.Cancelled()
}

// isGone reports whether the request that the call belongs to was given up.
func (c *call) isGone() bool { return c.parent != nil && c.parent.IsCancelled() }

// end gives back the units that the call did not spend.
func (c *call) end() {
	if c.parent == nil || c.purse == nil {
		return
	}
	c.mu.Lock()
	left := c.purse.Units()
	c.mu.Unlock()
	c.parent.Return(c.share, left)
}

// lend takes the units that an attempt hands on.
func (c *call) lend() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.purse.Split(retriesAndBelow)
}

// retriesAndBelow splits the units evenly between the attempts made here and
// the calls made deeper.
const retriesAndBelow = 2

// takeBack returns what an attempt did not spend of the units lent to it.
func (c *call) takeBack(share, unspent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.purse.Return(share, unspent)
}

// spend takes one unit for an extra attempt.
func (c *call) spend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.purse.Spend(1)
}

// note counts an attempt at a target. The first costs no memory.
func (c *call) note(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if c.attempts == 1 {
		c.tried = target
		return
	}
	c.tried += " " + target
}

// tries returns the number of attempts and, for more than one, their targets.
func (c *call) tries() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts < 2 {
		return c.attempts, ""
	}
	return c.attempts, c.tried
}

func addrOf(t *rules.Target) string {
	return net.JoinHostPort(t.Host, strconv.Itoa(t.Inbound))
}

func problem(p refuse.Problem) *refuse.Problem { return &p }
