package quota

import (
	"math"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// inflowTime is the time over which the inflow of shares is averaged.
	inflowTime = 2 * clock.Second
	// minInflow is the part of all shares from which on a bucket has room for a token.
	// At most 20 daemons have it at once.
	minInflow = 0.05
	// inflowMargin makes up for the inflow's variation between messages.
	inflowMargin = 1.25
	// aliveTime is the time after its last share for which a sender counts as an owner
	// of shares, and forgetTime the time after which it is forgotten.
	aliveTime  = 2 * clock.Second
	forgetTime = 30 * clock.Second
	sweepEvery = clock.Second
	// shrinkTime is the least time for which a number of daemons that own shares counts
	// after it has become smaller, because others may not know yet that it has.
	shrinkTime = 3 * clock.Second
	// maxSenders bounds the senders that are remembered.
	maxSenders = 1 << 14
	// seqWindow is the number of messages of a sender that may arrive out of order.
	seqWindow = 64
)

// Refusal says why a lender ignores a message.
type Refusal string

// Refusals. The empty one means that the message counts.
const (
	// Repeated means that the message has arrived before, or so late that this is
	// not known any more.
	Repeated Refusal = "repeated"
	// Crowded means that there are too many senders.
	Crowded Refusal = "crowded"
	// Invalid means that a number is out of bounds.
	Invalid Refusal = "invalid"
)

// Lender collects shares and lends tokens. It is not safe for concurrent use.
type Lender struct {
	// members is the number of daemons that own shares. recent and earlier are the
	// greatest numbers since shrunkAt and in the time before it.
	members  int
	recent   int
	earlier  int
	shrunkAt clock.Milli
	shards   [Shards]pool
	byHash   map[uint64]*bucket
	senders  map[uint64]*sender
	// alive counts the senders that own shares, as of sweptAt and since.
	alive   int
	sweptAt clock.Milli
}

// pool is the state of a shard. inflow is the part of all shares that arrives here,
// averaged over inflowTime. The capacities of its buckets shrink with it: otherwise a
// daemon that was the lender for a short time would keep full buckets beside those of
// the present one.
type pool struct {
	inflow   float64
	inflowAt clock.Milli
	buckets  []*bucket
}

// bucket holds the tokens of an account.
type bucket struct {
	account *Account
	tokens  float64
}

// sender is what is known of a borrower.
type sender struct {
	// seq is the highest sequence number, and bit i of seen says that seq-i arrived.
	seq  uint64
	seen uint64
	// credit is the time that its shares may still stand for. It grows with time, so
	// that shares that were held up do not come all at once.
	credit   clock.Milli
	creditAt clock.Milli
	// sharedAt is when its last share arrived, 0 if none did.
	sharedAt clock.Milli
	isAlive  bool
	heardAt  clock.Milli
}

// NewLender returns a lender without tokens.
func NewLender() *Lender {
	return &Lender{
		byHash:  make(map[uint64]*bucket),
		senders: make(map[uint64]*sender),
	}
}

// SetTable replaces the accounts. An account keeps its tokens up to its new capacity; a
// new one begins without.
func (l *Lender) SetTable(t *Table) {
	old := l.byHash
	l.byHash = make(map[uint64]*bucket, t.Len())
	for shard := range l.shards {
		p := &l.shards[shard]
		p.buckets = make([]*bucket, 0, len(t.shards[shard]))
		for _, a := range t.shards[shard] {
			b := &bucket{
				account: a,
			}
			if was, ok := old[a.Hash]; ok {
				b.tokens = min(was.tokens, a.capacity)
			}
			l.byHash[a.Hash] = b
			p.buckets = append(p.buckets, b)
		}
	}
}

// SetMembers sets the number of daemons that own shares.
func (l *Lender) SetMembers(count int) {
	l.members = count
	l.recent = max(l.recent, count)
}

// Receive takes the shares and the tokens that a message brings and returns the tokens
// that it lends. A refused message has no effect.
func (l *Lender) Receive(now clock.Milli, m *Message) (int, Refusal) {
	if !m.isValid() {
		return 0, Invalid
	}
	l.sweep(now)
	s, ok := l.senders[m.Sender]
	if !ok {
		if len(l.senders) >= maxSenders {
			return 0, Crowded
		}
		s = &sender{
			credit:   MaxShare,
			creditAt: now,
		}
		l.senders[m.Sender] = s
	}
	if !s.accept(m.Seq) {
		return 0, Repeated
	}
	s.heardAt = now
	if len(m.Shares) > 0 {
		l.takeShares(now, s, m)
	}
	b, ok := l.byHash[m.Account]
	if !ok || m.Account == 0 {
		return 0, ""
	}
	return l.lend(now, b, m.Want, m.Back), ""
}

// isValid reports whether all numbers of m are within their bounds.
func (m *Message) isValid() bool {
	if m.Seq == 0 || m.Members < 0 || len(m.Shares) > Shards ||
		m.Want < 0 || m.Want > MaxWant || m.Back < 0 || m.Back > MaxWant {
		return false
	}
	for _, share := range m.Shares {
		if share.Shard < 0 || share.Shard >= Shards || share.Time < 0 || share.Time > MaxShare {
			return false
		}
	}
	return true
}

// accept reports whether a message with the sequence number counts, which it does once.
func (s *sender) accept(seq uint64) bool {
	if seq > s.seq {
		s.seen <<= min(seq-s.seq, seqWindow)
		s.seen |= 1
		s.seq = seq
		return true
	}
	behind := s.seq - seq
	if behind >= seqWindow || s.seen&(1<<behind) != 0 {
		return false
	}
	s.seen |= 1 << behind
	return true
}

// takeShares adds the shares of a message to the buckets of their shards.
func (l *Lender) takeShares(now clock.Milli, s *sender, m *Message) {
	s.sharedAt = now
	if !s.isAlive {
		s.isAlive = true
		l.alive++
	}
	s.credit = min(s.credit+now-s.creditAt, MaxShare)
	s.creditAt = now
	longest := clock.Milli(0)
	owners := float64(max(l.owners(now), m.Members, l.alive, 1))
	for _, share := range m.Shares {
		time := min(share.Time, s.credit)
		longest = max(longest, time)
		l.shards[share.Shard].add(now, float64(time)/owners)
	}
	s.credit -= longest
}

// owners returns the greatest number of daemons that have owned shares of late.
func (l *Lender) owners(now clock.Milli) int {
	if now-l.shrunkAt >= shrinkTime {
		l.earlier = l.recent
		l.recent = l.members
		l.shrunkAt = now
	}
	return max(l.members, l.recent, l.earlier)
}

// add adds what accrues in a time to all buckets.
func (p *pool) add(now clock.Milli, time float64) {
	p.decay(now)
	p.inflow += time / float64(inflowTime)
	seconds := time / float64(clock.Second)
	for _, b := range p.buckets {
		b.tokens = min(b.tokens+seconds*b.account.Rate, p.capacity(b))
	}
}

// decay advances the averaged inflow to now.
func (p *pool) decay(now clock.Milli) {
	if now > p.inflowAt {
		p.inflow *= math.Exp(-float64(now-p.inflowAt) / float64(inflowTime))
		p.inflowAt = now
	}
}

// capacity returns the most tokens that a bucket holds with the present inflow. A bucket
// without room for a whole token would lend none, so a lender with a notable part of the
// shares always has room for one.
func (p *pool) capacity(b *bucket) float64 {
	c := b.account.capacity * min(inflowMargin*p.inflow, 1)
	if p.inflow < minInflow {
		return c
	}
	return max(c, 1)
}

// lend puts the tokens that are given back into a bucket and takes up to want out.
func (l *Lender) lend(now clock.Milli, b *bucket, want, back int) int {
	p := &l.shards[b.account.Shard]
	p.decay(now)
	b.tokens = min(b.tokens+float64(back), p.capacity(b))
	n := min(want, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

// sweep counts the senders that own shares and forgets those that fell silent.
func (l *Lender) sweep(now clock.Milli) {
	if now-l.sweptAt < sweepEvery {
		return
	}
	l.sweptAt = now
	l.alive = 0
	for id, s := range l.senders {
		s.isAlive = s.sharedAt > 0 && now-s.sharedAt < aliveTime
		if s.isAlive {
			l.alive++
		}
		if now-s.heardAt >= forgetTime {
			delete(l.senders, id)
		}
	}
}
