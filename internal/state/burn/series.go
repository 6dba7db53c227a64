package burn

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// Widths and spans of the rings of a series.
const (
	fineWidth = 10 * clock.Second
	fineSpan  = clock.Hour
	// CoarseWidth is the width of the buckets that [Table.Buckets] returns.
	CoarseWidth = 5 * clock.Minute
	// CoarseSpan is the time that these buckets cover.
	CoarseSpan = 72 * clock.Hour
)

// series holds the counts of one key.
type series struct {
	mu     sync.Mutex
	fine   ring
	coarse ring
}

func newSeries() *series {
	return &series{
		fine:   newRing(fineWidth, fineSpan),
		coarse: newRing(CoarseWidth, CoarseSpan),
	}
}

func (s *series) add(at clock.Milli, c Count) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fine.add(at, c)
	s.coarse.add(at, c)
}

func (s *series) sums(at clock.Milli) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	windows := Windows()
	sums := make([]Count, 0, len(windows))
	for _, w := range windows {
		r := &s.fine
		if w > fineSpan {
			r = &s.coarse
		}
		sums = append(sums, r.sum(at, w))
	}
	return sums
}

func (s *series) buckets(at clock.Milli) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coarse.counts(at)
}

// bucket holds the counts of one time bucket. They stay at the largest value
// instead of overflowing.
type bucket struct {
	good uint32
	bad  uint32
}

// ring is a ring buffer of time buckets of equal width. The bucket with the
// number newest holds the calls from newest*width on.
type ring struct {
	width   clock.Milli
	buckets []bucket
	newest  int64
}

// newRing returns a ring that covers span in whole buckets, besides the
// present bucket, which is still being filled.
func newRing(width, span clock.Milli) ring {
	return ring{
		width:   width,
		buckets: make([]bucket, span/width+1),
	}
}

// advance moves the ring forward to the bucket that contains at. It does
// nothing if that bucket is older than the newest one.
func (r *ring) advance(at clock.Milli) {
	index := int64(at / r.width)
	size := int64(len(r.buckets))
	if index-r.newest >= size {
		clear(r.buckets)
		r.newest = index
	}
	for r.newest < index {
		r.newest++
		r.buckets[r.newest%size] = bucket{}
	}
}

func (r *ring) add(at clock.Milli, c Count) {
	r.advance(at)
	// Callers read the clock before they wait for the lock, so that at may lie
	// in an older bucket. Such a call counts in the newest bucket.
	newest := &r.buckets[r.newest%int64(len(r.buckets))]
	newest.good = addCapped(newest.good, c.Good)
	newest.bad = addCapped(newest.bad, c.Bad)
}

func addCapped(n uint32, more uint64) uint32 {
	const maxCount = 1<<32 - 1
	return uint32(min(uint64(n)+more, maxCount))
}

// sum returns the counts of the present bucket and of the buckets in the
// window before it.
func (r *ring) sum(at, window clock.Milli) Count {
	r.advance(at)
	var total Count
	for age := range int64(window/r.width) + 1 {
		total = total.Plus(r.bucketAt(age))
	}
	return total
}

// counts returns the counts of all buckets by their age. Empty buckets at the
// end are left out.
func (r *ring) counts(at clock.Milli) []Count {
	r.advance(at)
	var counts []Count
	for age := range int64(len(r.buckets)) {
		c := r.bucketAt(age)
		if c.Total() == 0 {
			continue
		}
		for int64(len(counts)) < age {
			counts = append(counts, Count{})
		}
		counts = append(counts, c)
	}
	return counts
}

// bucketAt returns the counts of the bucket that is age buckets older than the
// newest.
func (r *ring) bucketAt(age int64) Count {
	size := int64(len(r.buckets))
	if age > r.newest || age >= size {
		return Count{}
	}
	c := r.buckets[(r.newest-age)%size]
	return Count{
		Good: uint64(c.good),
		Bad:  uint64(c.bad),
	}
}
