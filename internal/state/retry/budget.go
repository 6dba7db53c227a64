// Package retry bounds the extra attempts of requests: retries and hedges.
//
// Two bounds hold together. A [Budget] bounds one request over its whole chain
// of calls. The root request gets an integer allowance of extra attempts, and
// units are conserved: a hop spends from what it was handed, lends shares of
// the rest to its child calls, and takes back what an answer returns. The
// units lent to a call whose answer is lost count as spent. However deep and
// wide the chain, its attempts are at most its calls plus the allowance, and
// no two hops have to agree on anything.
//
// A [Ratio] bounds the extra attempts of all requests of one caller to one
// target in proportion to the successes there, so that retries fade out while
// a target fails. An extra attempt needs a unit from both.
package retry

// Budget holds the units of one request at one hop. It is not safe for
// concurrent use.
type Budget struct {
	units int
}

// NewBudget returns a purse of units, none if units is negative.
func NewBudget(units int) *Budget {
	return &Budget{units: max(units, 0)}
}

// Units returns what is left.
func (p *Budget) Units() int { return p.units }

// Spend takes n units for as many extra attempts. It takes nothing and
// returns false when fewer are left or n is negative.
func (p *Budget) Spend(n int) bool {
	if n < 0 || n > p.units {
		return false
	}
	p.units -= n
	return true
}

// Split takes out the share of one child call when children calls, this one
// included, are still to be made, and returns it. The first child gets the
// odd unit. A hop that doesn't know how many calls follow passes 2, so that
// each call gets half of the rest.
func (p *Budget) Split(children int) int {
	share := p.units
	if children > 1 {
		share = (p.units + children - 1) / children
	}
	p.units -= share
	return share
}

// Return puts back what the answer to a child call says is unspent of the
// share that the call was lent. More than the share is never put back. It must
// be called at most once for each share, and not at all for a lost answer.
func (p *Budget) Return(share, unspent int) {
	p.units += min(max(unspent, 0), max(share, 0))
}
