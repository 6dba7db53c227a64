package outbnd

import (
	"math/rand/v2"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// randomGuards emulates guards that refuse attempts and lose messages at random
// and whose targets make downstream calls. It accounts for retry units as the
// inbound side does.
type randomGuards struct {
	fixture *fixture

	mu    sync.Mutex
	rng   *rand.Rand
	calls int
	// ran holds the ids of the attempts that reached a target.
	ran map[string]bool
	// surplus counts requests that ended with more retry units than they
	// received.
	surplus int
}

// draw returns a random number in [0, n).
func (c *randomGuards) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *randomGuards) serve(q guardRequest) {
	switch q.kind {
	case "run":
		c.serveAttempt(q)
	case "ask":
		c.mu.Lock()
		ran := c.ran[q.hop.Attempt]
		c.mu.Unlock()
		if ran {
			q.answer(reply.Ended, zeroUnits)
			return
		}
		q.answer(reply.NotRun, zeroUnits)
	default:
		q.answer(reply.Unknown, zeroUnits)
	}
}

func zeroUnits(r *reply.Reply) { r.RetryUnits = 0 }

func (c *randomGuards) serveAttempt(q guardRequest) {
	switch c.draw(6) {
	case 0:
		// The attempt never arrives.
		q.disconnect()
		return
	case 1:
		q.answer(reply.NotRun, nil)
		return
	}
	c.mu.Lock()
	c.ran[q.hop.Attempt] = true
	c.mu.Unlock()
	left := c.runTarget(q.hop)
	if c.draw(4) == 0 {
		// The answer is lost.
		q.disconnect()
		return
	}
	q.answer(reply.Done, func(r *reply.Reply) { r.RetryUnits = left })
}

// runTarget runs a request that makes up to three downstream calls, and returns
// its unspent retry units.
func (c *randomGuards) runTarget(h hop.Hop) int {
	parent, err := c.fixture.server.cfg.Chains.Add(chain.Context{
		Root:       h.Root,
		Path:       h.Path,
		Caller:     h.Caller,
		Importance: h.Importance,
		Depth:      h.Depth,
		Deadline:   c.fixture.server.cfg.Clock.Now() + 20*clock.Second,
	}, h.RetryUnits)
	if err != nil {
		c.fixture.t.Errorf("add a parent request: %v", err)
	}
	downstream := map[string]string{
		"shop/top":  "shop/list",
		"shop/list": "shop/read",
	}[h.Path]
	for n := c.draw(4); downstream != "" && n > 0; n-- {
		c.call(downstream, map[string]string{
			header.Context: parent.Token,
		})
	}
	left := c.fixture.server.cfg.Chains.End(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if left > h.RetryUnits {
		c.surplus++
	}
	return left
}

func (c *randomGuards) call(path string, fields map[string]string) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	c.fixture.call(path, fields)
}

// TestUnitsAreConserved makes calls up to three levels deep. Whichever answers
// are lost, the attempts of one root request must not exceed the number of its
// calls plus the retry budget.
func TestUnitsAreConserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &randomGuards{
			rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
			ran: make(map[string]bool),
		}
		c.fixture = newFixture(t, c.serve)
		defer c.fixture.close()
		c.fixture.seedLatency()
		attempts := c.fixture.countAttempts()
		c.call("shop/top", nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		if bound := c.calls + c.fixture.set.RetryBudget(); int(attempts.Load()) > bound {
			rt.Fatalf("%d attempts for %d calls with a retry budget of %d", attempts.Load(), c.calls, c.fixture.set.RetryBudget())
		}
		if c.surplus > 0 {
			rt.Fatalf("%d requests ended with more retry units than they received", c.surplus)
		}
	})
}
