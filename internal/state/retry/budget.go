// Package retry limits the extra attempts of requests: retries and hedges.
//
// Two limits apply together. A [Budget] limits one request over its whole chain
// of calls. The root request gets an integer retry budget, counted in retry
// units of one extra attempt each. Units are conserved: a hop spends units of
// the budget that it received, lends shares of the rest to its downstream
// calls, and takes back the units that an answer reports as unspent. The units
// lent to a call whose answer is lost count as spent. The attempts of a chain
// of any depth and width are therefore at most its calls plus the retry budget,
// without any coordination between hops.
//
// A [Ratio] limits the extra attempts of all requests of one caller to one
// target in proportion to the successes there, so that retries stop while a
// target fails. An extra attempt needs a retry unit of the Budget and an
// attempt of the Ratio.
package retry

// Budget is the retry budget of one request at one hop. It is not safe for
// concurrent use.
type Budget struct {
	units int
}

// NewBudget returns a budget of the given retry units. A negative number
// counts as zero.
func NewBudget(units int) *Budget {
	return &Budget{units: max(units, 0)}
}

// Units returns the number of retry units left.
func (b *Budget) Units() int { return b.units }

// Spend takes n units for n extra attempts. It takes nothing and returns false
// if fewer than n units are left or n is negative.
func (b *Budget) Spend(n int) bool {
	if n < 0 || n > b.units {
		return false
	}
	b.units -= n
	return true
}

// Split takes out the share of one downstream call and returns it. children is
// the number of downstream calls that are still to be made, including this one.
// The shares are equal, rounded up. A hop that doesn't know how many calls
// follow passes 2, so that each call gets half of the units left.
func (b *Budget) Split(children int) int {
	share := b.units
	if children > 1 {
		share = (b.units + children - 1) / children
	}
	b.units -= share
	return share
}

// Return puts back the units of a share that the downstream call did not spend,
// as reported by its answer. It never puts back more than the share. It must be
// called at most once for each share, and not at all if the answer is lost.
func (b *Budget) Return(share, unspent int) {
	b.units += min(max(unspent, 0), max(share, 0))
}
