package quota

import (
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// useTime is the time whose use a borrower asks for in advance.
	useTime = 100 * clock.Millisecond
	// minAddedShare is the least share that is sent along with a request for tokens.
	minAddedShare = 100 * clock.Millisecond
	// maxSilent is the number of messages in a row without an answer after which a
	// lender is left out.
	maxSilent = 2
	// minRetry and maxRetry bound the time after which a refused caller may retry.
	minRetry = 200 * clock.Millisecond
	maxRetry = 5 * clock.Second
)

// Verdict says what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// Run means that the request has its token.
	Run Verdict = iota
	// Limited means that the account is over its limit.
	Limited
	// Wait means that tokens must be asked for.
	Wait
	// Unreached means that no lender can be reached and that the own share is used up.
	Unreached
)

// Decision is the result of [Borrower.Take].
type Decision struct {
	Verdict Verdict
	// Until is how long the token of a request that runs is good for another one, if
	// the request does not run after all.
	Until clock.Milli
	// Retry is the time after which a limited caller may retry.
	Retry clock.Milli
}

// Outgoing is a message to a lender.
type Outgoing struct {
	Lender string
	Message
	// SentAt is the instant from which the lease of the tokens counts.
	SentAt clock.Milli
	// account is the one that the message asks or gives back for, nil if none.
	account *Account
}

// Borrower owns the shares of this daemon and asks lenders for tokens. It is not safe
// for concurrent use.
type Borrower struct {
	id      uint64
	table   *Table
	members *Members
	credits map[string]*credit
	// shares holds for each shard how much of the own share was moved on.
	shares [Shards]ownShare
	peers  map[string]*lenderState
	// hasJoined is set once the daemon was a member.
	hasJoined bool
}

// ownShare is the own share of a shard. What has accrued since sentUntil was not sent.
// kept is the accrued time, in all, that was kept to be spent here.
type ownShare struct {
	sentUntil clock.Milli
	kept      clock.Milli
}

// lenderState is what is known of a lender.
type lenderState struct {
	seq   uint64
	dueAt clock.Milli
	// silent counts the messages without an answer since the last one with an answer.
	// While there are any, the lender gets no shares, but an empty message at probeAt.
	silent int
	// isDown is set when too many messages went without an answer, until one is
	// answered. Meanwhile the lender is not asked for tokens either.
	isDown  bool
	probeAt clock.Milli
}

// credit holds the tokens of an account at this daemon.
type credit struct {
	account *Account
	// held tokens may be used until heldUntil; back are to be given back.
	held      int
	heldUntil clock.Milli
	back      int
	// blockedUntil is the instant until which requests are refused, because the lender
	// had too few tokens.
	blockedUntil clock.Milli
	// used and usedBefore count the tokens of the present and the last useTime.
	used       int
	usedBefore int
	usedSince  clock.Milli
	// own are tokens of the own share, ownMark the value of kept that they include.
	own     float64
	ownMark clock.Milli
	ownAt   clock.Milli
}

// NewBorrower returns a borrower without accounts that starts at now. id identifies
// the run of the daemon.
func NewBorrower(now clock.Milli, id uint64) *Borrower {
	b := &Borrower{
		id:      id,
		table:   NewTable(Bounds{}, nil),
		members: NewMembers("", nil),
		credits: make(map[string]*credit),
		peers:   make(map[string]*lenderState),
	}
	for i := range b.shares {
		b.shares[i].sentUntil = now - initialShare
	}
	return b
}

// SetTable replaces the accounts. Tokens of accounts that remain are kept.
func (b *Borrower) SetTable(t *Table) {
	b.table = t
	for name, c := range b.credits {
		a, ok := t.Account(name)
		if !ok {
			delete(b.credits, name)
			continue
		}
		c.account = a
	}
}

// SetMembers replaces the set of daemons. A daemon that joins it later than at its
// start owns what accrues from then on.
func (b *Borrower) SetMembers(now clock.Milli, m *Members) {
	if m.isMember && !b.members.isMember {
		owned := clock.Milli(0)
		if !b.hasJoined {
			owned = initialShare
		}
		for i := range b.shares {
			b.shares[i].sentUntil = max(b.shares[i].sentUntil, now-owned)
		}
		b.hasJoined = true
	}
	b.members = m
	known := b.peers
	b.peers = make(map[string]*lenderState, len(m.lenders))
	for _, host := range m.lenders {
		p, ok := known[host]
		if !ok {
			p = &lenderState{}
		}
		b.peers[host] = p
	}
	for host, p := range known {
		// The sequence of a former lender goes on if it is one again.
		if _, ok := b.peers[host]; !ok && p.seq > 0 && len(b.peers) < maxSenders {
			b.peers[host] = p
		}
	}
}

// Take decides on a request of an account, which must be in the table, at now.
func (b *Borrower) Take(now clock.Milli, name string) Decision {
	c := b.credit(name)
	if c == nil {
		return Decision{
			Verdict: Run,
		}
	}
	c.expire(now)
	switch {
	case c.held > 0:
		c.held--
		c.use(now)
		return Decision{
			Verdict: Run,
			Until:   c.heldUntil,
		}
	case now < c.blockedUntil:
		return Decision{
			Verdict: Limited,
			Retry:   c.retry(),
		}
	}
	if _, ok := b.lender(c.account.Shard); ok {
		return Decision{
			Verdict: Wait,
		}
	}
	if b.takeOwn(now, c) {
		return Decision{
			Verdict: Run,
		}
	}
	return Decision{
		Verdict: Unreached,
		Retry:   downTime,
	}
}

// credit returns the credit of an account, nil if it has no rate limit.
func (b *Borrower) credit(name string) *credit {
	if c, ok := b.credits[name]; ok {
		return c
	}
	a, ok := b.table.Account(name)
	if !ok {
		return nil
	}
	c := &credit{
		account: a,
		ownMark: b.shares[a.Shard].kept,
	}
	b.credits[name] = c
	return c
}

// expire sets tokens whose lease has ended aside to be given back.
func (c *credit) expire(now clock.Milli) {
	if c.held > 0 && now >= c.heldUntil {
		c.back = min(c.back+c.held, MaxWant)
		c.held = 0
	}
}

// use counts a token that is used.
func (c *credit) use(now clock.Milli) {
	if age := now - c.usedSince; age >= useTime {
		c.usedBefore = c.used
		if age >= 2*useTime {
			c.usedBefore = 0
		}
		c.used = 0
		c.usedSince = now
	}
	c.used++
}

// expectedUse returns how many tokens were used in a recent useTime.
func (c *credit) expectedUse(now clock.Milli) int {
	switch age := now - c.usedSince; {
	case age < useTime:
		return c.usedBefore
	case age < 2*useTime:
		return c.used
	}
	return 0
}

// retry returns the time in which the account may spend one more request.
func (c *credit) retry() clock.Milli {
	return min(max(clock.Milli(float64(clock.Second)/c.account.Rate), minRetry), maxRetry)
}

// lender returns the lender of a shard, and false if none is believed to be reachable.
func (b *Borrower) lender(shard int) (string, bool) {
	return b.members.lender(shard, func(host string) bool { return !b.peers[host].isDown })
}

// IsCutOff reports whether there is an account none of whose lenders can be reached.
func (b *Borrower) IsCutOff() bool {
	if b.table.Len() == 0 || b.members.count == 0 {
		return false
	}
	_, ok := b.lender(0)
	return !ok
}

// unsent returns the time for which the own share of a shard was not moved on.
func (b *Borrower) unsent(now clock.Milli, shard int) clock.Milli {
	if !b.members.isMember {
		return 0
	}
	return min(now-b.shares[shard].sentUntil, MaxShare)
}

// moveShare returns the unsent share of a shard, which no longer belongs to this side.
func (b *Borrower) moveShare(now clock.Milli, shard int) Share {
	time := b.unsent(now, shard)
	b.shares[shard].sentUntil = now
	return Share{
		Shard: shard,
		Time:  time,
	}
}

// moveShares returns the unsent shares of all shards of a lender. They are sent
// together, because the lender bounds the time that a daemon's shares stand for and
// does not keep it by shard.
func (b *Borrower) moveShares(now clock.Milli, host string) []Share {
	var shares []Share
	for shard := range b.shares {
		if len(b.table.shards[shard]) == 0 || b.unsent(now, shard) <= 0 {
			continue
		}
		if lender, ok := b.lender(shard); ok && lender == host {
			shares = append(shares, b.moveShare(now, shard))
		}
	}
	return shares
}

// takeOwn takes a token from the part of the own share that was not sent. It may stand
// for maxOwn at most, so that daemons that are cut off for long do not save up.
func (b *Borrower) takeOwn(now clock.Milli, c *credit) bool {
	s := &b.shares[c.account.Shard]
	s.kept += b.moveShare(now, c.account.Shard).Time
	if now-c.ownAt > maxOwn {
		c.own = 0
	}
	c.ownAt = now
	rate := c.account.Rate / float64(max(b.members.count, 1))
	time := min(s.kept-c.ownMark, maxOwn)
	c.ownMark = s.kept
	c.own = min(c.own+rate*float64(time)/float64(clock.Second), rate*float64(maxOwn)/float64(clock.Second))
	if c.own < 1 {
		return false
	}
	c.own--
	return true
}

// Release takes back the token of a request that did not run, to be used for another
// one until an instant and to be given back after it.
func (b *Borrower) Release(now clock.Milli, name string, until clock.Milli) {
	c := b.credit(name)
	if c == nil || until == 0 {
		return
	}
	c.expire(now)
	if now >= until || c.held > 0 && until < c.heldUntil {
		// Held with the others, it would shorten their lease.
		c.back = min(c.back+1, MaxWant)
		return
	}
	c.hold(now, 1, until)
}

// hold adds tokens to those at hand. All are held until the first lease ends.
func (c *credit) hold(now clock.Milli, n int, until clock.Milli) {
	c.expire(now)
	if c.held > 0 {
		until = min(until, c.heldUntil)
	}
	c.held += n
	c.heldUntil = until
}

// Ask returns a message that asks for the tokens of the requests that wait and of
// those that are expected soon. It returns false if there is no lender.
func (b *Borrower) Ask(now clock.Milli, name string, waiting int) (Outgoing, bool) {
	c := b.credit(name)
	if c == nil {
		return Outgoing{}, false
	}
	host, ok := b.lender(c.account.Shard)
	if !ok {
		return Outgoing{}, false
	}
	c.expire(now)
	o := b.outgoing(now, host)
	o.giveBack(c)
	o.Want = min(max(waiting+c.expectedUse(now)-c.held, 1), MaxWant)
	if b.peers[host].silent == 0 && b.unsent(now, c.account.Shard) >= minAddedShare {
		o.Shares = b.moveShares(now, host)
		b.peers[host].dueAt = now + b.members.shareEvery()
	}
	return o, true
}

// outgoing returns an empty message to a lender.
func (b *Borrower) outgoing(now clock.Milli, host string) Outgoing {
	p := b.peers[host]
	p.seq++
	return Outgoing{
		Lender: host,
		SentAt: now,
		Message: Message{
			Sender:  b.id,
			Seq:     p.seq,
			Members: b.members.count,
		},
	}
}

// giveBack moves the tokens that are to be given back into the message.
func (o *Outgoing) giveBack(c *credit) {
	o.account = c.account
	o.Account = c.account.Hash
	o.Back = c.back
	c.back = 0
}

// Answered records the tokens that a lender lent.
func (b *Borrower) Answered(now clock.Milli, o *Outgoing, lent int) {
	if p, ok := b.peers[o.Lender]; ok {
		p.isDown = false
		p.silent = 0
	}
	if o.account == nil || o.Want == 0 {
		return
	}
	c := b.credit(o.account.Name)
	if c == nil {
		return
	}
	lent = min(max(lent, 0), o.Want)
	if lent > 0 {
		c.hold(now, lent, o.SentAt+LeaseTime)
	}
	if lent < o.Want {
		c.blockedUntil = now + noneTime
	}
}

// Failed records that a lender did not answer. What the message held is lost unless it
// is certain that it did not arrive. The lender is left out if it could not be reached,
// or did not answer several times in a row: after a single late answer another lender
// would have none of the tokens that the rest of the fleet sent to this one.
func (b *Borrower) Failed(now clock.Milli, o *Outgoing, hasArrived bool) {
	if p, ok := b.peers[o.Lender]; ok {
		p.silent++
		p.isDown = p.isDown || !hasArrived || p.silent >= maxSilent
		p.probeAt = now
		if p.isDown {
			p.probeAt += downTime
		}
	}
	if hasArrived {
		return
	}
	for _, share := range o.Shares {
		b.shares[share.Shard].sentUntil -= share.Time
	}
	if o.account == nil {
		return
	}
	if c := b.credit(o.account.Name); c != nil {
		c.back = min(c.back+o.Back, MaxWant)
	}
}

// Tick returns the messages that are due: shares, and tokens that were not used.
func (b *Borrower) Tick(now clock.Milli) []Outgoing {
	if b.table.Len() == 0 {
		return nil
	}
	var due []Outgoing
	for _, host := range b.members.lenders {
		if o, ok := b.dueShares(now, host); ok {
			due = append(due, o)
		}
	}
	for _, c := range b.credits {
		c.expire(now)
		if c.back == 0 {
			continue
		}
		if host, ok := b.lender(c.account.Shard); ok {
			o := b.outgoing(now, host)
			o.giveBack(c)
			due = append(due, o)
		}
	}
	return due
}

// dueShares returns the message with the shares for a lender if it is due, or an empty
// one if it is time to see whether the lender answers again. The first with shares is
// due at once, and the second after a time that differs between daemons, so that the
// messages of a fleet that starts are spread.
func (b *Borrower) dueShares(now clock.Milli, host string) (Outgoing, bool) {
	p := b.peers[host]
	if p.silent > 0 && now >= p.probeAt {
		p.probeAt = now + downTime
		return b.outgoing(now, host), true
	}
	if p.silent > 0 || now < p.dueAt {
		return Outgoing{}, false
	}
	interval := b.members.shareEvery()
	p.dueAt += interval
	if p.dueAt <= now {
		spread := (score(0, host) ^ b.id) % uint64(interval)
		p.dueAt = now + clock.Milli(spread) + 1
	}
	shares := b.moveShares(now, host)
	if len(shares) == 0 {
		return Outgoing{}, false
	}
	o := b.outgoing(now, host)
	o.Shares = shares
	return o, true
}
