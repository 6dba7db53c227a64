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

// chaos stands for guards whose targets call deeper, whose answers get lost and
// which refuse and are late. It keeps units the way that the inbound side does.
type chaos struct {
	w *world

	mu    sync.Mutex
	rng   *rand.Rand
	calls int
	// ran holds the attempts that reached a target.
	ran map[string]bool
	// minted counts requests that ended with more units than they had.
	minted int
}

// draw returns a number in [0, n).
func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *chaos) serve(q question) {
	switch q.word {
	case "run":
		c.run(q)
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

func (c *chaos) run(q question) {
	switch c.draw(6) {
	case 0:
		// The attempt never arrives.
		q.cut()
		return
	case 1:
		q.answer(reply.NotRun, nil)
		return
	}
	c.mu.Lock()
	c.ran[q.hop.Attempt] = true
	c.mu.Unlock()
	left := c.target(q.hop)
	if c.draw(4) == 0 {
		// The answer is lost.
		q.cut()
		return
	}
	q.answer(reply.Done, func(r *reply.Reply) { r.RetryUnits = left })
}

// target runs a request, which makes up to three deeper calls, and returns the
// units that it leaves.
func (c *chaos) target(h hop.Hop) int {
	parent, err := c.w.server.cfg.Chains.Add(chain.Context{
		Root:       h.Root,
		Path:       h.Path,
		Caller:     h.Caller,
		Importance: h.Importance,
		Depth:      h.Depth,
		Deadline:   c.w.server.cfg.Clock.Now() + 20*clock.Second,
	}, h.RetryUnits)
	if err != nil {
		c.w.t.Errorf("add: %v", err)
	}
	deeper := map[string]string{
		"shop/top":  "shop/list",
		"shop/list": "shop/read",
	}[h.Path]
	for n := c.draw(4); deeper != "" && n > 0; n-- {
		c.call(deeper, map[string]string{
			header.Context: parent.Token,
		})
	}
	left := c.w.server.cfg.Chains.End(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if left > h.RetryUnits {
		c.minted++
	}
	return left
}

func (c *chaos) call(path string, fields map[string]string) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	c.w.call(path, fields)
}

// TestUnitsAreConserved runs calls three levels deep through both halves of the
// protocol. However answers are lost, the attempts of one root request are at
// most its calls and the allowance.
func TestUnitsAreConserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &chaos{
			rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
			ran: make(map[string]bool),
		}
		c.w = newWorld(t, c.serve)
		defer c.w.close()
		c.w.settleLatency()
		attempts := c.w.countAttempts()
		c.call("shop/top", nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		if bound := c.calls + c.w.set.RetryBudget(); int(attempts.Load()) > bound {
			rt.Fatalf("%d attempts for %d calls with an allowance of %d", attempts.Load(), c.calls, c.w.set.RetryBudget())
		}
		if c.minted > 0 {
			rt.Fatalf("%d requests ended with more units than they had", c.minted)
		}
	})
}
