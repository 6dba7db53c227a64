package pick

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bucket is a token bucket of bytes. Its methods take the present time as an
// argument. It is safe for concurrent use, because all pickers of a daemon
// share one bucket.
type Bucket struct {
	mu         sync.Mutex
	rate       int64
	burst      int64
	tokens     int64
	refilledAt clock.Milli
}

// NewBucket returns a full bucket that gains rate bytes a second and holds at
// most burst bytes.
func NewBucket(rate, burst int64) *Bucket {
	return &Bucket{
		rate:   rate,
		burst:  burst,
		tokens: burst,
	}
}

// SetRate changes rate and burst from now on. Bytes above the new burst are
// dropped. It is needed when the number of daemons that share a link changes.
func (b *Bucket) SetRate(now clock.Milli, rate, burst int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Permits reports whether taking n bytes would leave the reserve, which is in
// percent of the burst.
func (b *Bucket) Permits(now clock.Milli, n, reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.permits(n, reserve)
}

// Take takes n bytes if that leaves the reserve, which is in percent of the
// burst, and reports whether it did.
func (b *Bucket) Take(now clock.Milli, n, reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if !b.permits(n, reserve) {
		return false
	}
	b.tokens -= int64(n)
	return true
}

// Charge takes n bytes that have been sent already. The bucket may owe up to a burst, so
// that one large answer does not close the link for minutes.
func (b *Bucket) Charge(now clock.Milli, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = max(b.tokens-int64(n), -b.burst)
}

// Left returns the number of bytes in the bucket, negative if it owes some.
func (b *Bucket) Left(now clock.Milli) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

// percent returns n as a percentage of the burst, at most 100.
func (b *Bucket) percent(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.burst <= 0 {
		return 100
	}
	return int(min(100, int64(n)*100/b.burst))
}

func (b *Bucket) permits(n, reserve int) bool {
	return b.tokens-int64(n) >= b.burst*int64(reserve)/100
}

func (b *Bucket) refill(now clock.Milli) {
	gain := b.rate * int64(now-b.refilledAt) / int64(clock.Second)
	if gain <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+gain)
	b.refilledAt = now
}
