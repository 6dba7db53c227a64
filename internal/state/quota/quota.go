// Package quota decides which requests of client accounts with a rate limit run,
// over all daemons together.
//
// Each of N daemons owns a 1/N share of each limit, which accrues with time. It
// sends the time that has accrued to a lender, a daemon that all choose alike
// with [Members]. The [Lender] collects the shares of an account in a token
// bucket and lends tokens to the daemons at which its requests arrive. The
// [Borrower] is the side that owns shares and asks for tokens. Shares and tokens
// are moved and never copied: what a lost message held is gone, and a message
// that arrives twice counts once. The sum that all daemons spend is therefore
// bounded by what accrues and what the buckets hold.
//
// Accounts are grouped in [Shards] by a hash of their name. A message names the
// shard that a share is for, so that sender and receiver need not agree on who
// lends, and a lender handles a share of all accounts of a shard at once.
//
// The package does no I/O, starts no goroutine and reads no clock.
package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// Shards is the number of groups that accounts are divided into.
	Shards = 64
	// LeaseTime is how long a borrower may keep a token before it is used.
	LeaseTime = 300 * clock.Millisecond
	// MaxWait bounds the time for which a request waits for its token.
	MaxWait = 300 * clock.Millisecond
	// AnswerTime is the time in which a lender must answer.
	AnswerTime = 150 * clock.Millisecond
	// MaxWant bounds the tokens that a message asks for or gives back.
	MaxWant = 10_000
	// MaxShare bounds the time that a share stands for. What accrued before that is
	// lost to the daemon that did not send it.
	MaxShare = 1500 * clock.Millisecond

	// shareEvery is the interval at which shares are sent, largeShareEvery that of a
	// fleet with more than largeLenders lenders, each of which gets messages from all
	// daemons.
	shareEvery      = 500 * clock.Millisecond
	largeShareEvery = clock.Second
	largeLenders    = 16
	// maxOwn is the time whose accrued share a daemon without a lender may save up.
	maxOwn = clock.Second
	// initialShare is the accrued time that a daemon begins with.
	initialShare = 500 * clock.Millisecond
	// downTime is how long a lender that did not answer is left alone before it is seen
	// whether it answers again.
	downTime = clock.Second
	// noneTime is how long a borrower that got fewer tokens than it asked for
	// refuses requests before it asks again.
	noneTime = 100 * clock.Millisecond
)

// Bounds is the excess over the limit of an account that the platform tolerates:
// in Window, requests may exceed the limit by the share Over of it and by Slack.
// The zero value puts no limits in force.
type Bounds struct {
	Window clock.Milli
	Over   float64
	Slack  float64
}

// InForce reports whether limits are in force.
func (b Bounds) InForce() bool { return b.Window > 0 }

// inTransitSeconds is the time whose accrued shares may be on their way or be held by
// borrowers beside what a bucket holds.
const inTransitSeconds = 0.75

// capacity returns the most tokens that the bucket of an account holds: its burst, and
// a second's rate where the bounds leave room for that.
func (b Bounds) capacity(rate, burst float64) float64 {
	seconds := float64(b.Window) / float64(clock.Second)
	excess := b.Over*(rate*seconds+burst) + b.Slack
	return max(burst, min(rate, burst+excess-inTransitSeconds*rate), 1)
}

// Limit is the rate limit of an account: Rate requests a second and a burst.
type Limit struct {
	Name  string
	Rate  float64
	Burst float64
}

// Account is an account with a rate limit.
type Account struct {
	Limit
	// Hash stands for the name in messages.
	Hash     uint64
	Shard    int
	capacity float64
}

// Table is an immutable table of the accounts with a rate limit.
type Table struct {
	byName map[string]*Account
	shards [Shards][]*Account
}

// NewTable returns the table of the limits. Those with a rate of 0 are left out.
func NewTable(b Bounds, limits []Limit) *Table {
	t := &Table{
		byName: make(map[string]*Account, len(limits)),
	}
	for _, l := range limits {
		if !(l.Rate > 0) || math.IsInf(l.Rate, 1) {
			continue
		}
		hash := xxhash.Sum64String(l.Name)
		a := &Account{
			Limit:    l,
			Hash:     hash,
			Shard:    int(hash % Shards),
			capacity: b.capacity(l.Rate, l.Burst),
		}
		t.byName[l.Name] = a
		t.shards[a.Shard] = append(t.shards[a.Shard], a)
	}
	return t
}

// Account returns the account with the name, and false if it has no rate limit.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (t *Table) Len() int { return len(t.byName) }

// Message is what a borrower sends to a lender: shares, and tokens of one account
// that it asks for or gives back.
type Message struct {
	// Sender identifies the run of the sending daemon, Seq the message among those
	// from it to the same lender.
	Sender uint64
	Seq    uint64
	// Members is the number of daemons that own shares, as the sender knows it.
	Members int
	Shares  []Share
	// Account is the hash of the account, 0 if the message only brings shares.
	Account uint64
	Want    int
	Back    int
}

// Share is the time for which the sender's share of all accounts of a shard moves to
// the receiver.
type Share struct {
	Shard int
	Time  clock.Milli
}
