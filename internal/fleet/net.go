package fleet

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// wheelSize is the longest delay of a message. It is a power of two.
	wheelSize = 4096 * clock.Millisecond
	// Overhead is the allowance, in bytes, for what carries a message: the
	// headers of its segment and of the acknowledgment, and the frame.
	Overhead = 120
)

// Place is where a host stands.
type Place struct {
	Region string
	Centre string
}

// Delay returns the time that a message takes between two places.
func Delay(from, to Place) clock.Milli {
	if from.Region != to.Region {
		return 20 * clock.Millisecond
	}
	return clock.Millisecond
}

// Net delivers functions after delays, loses some, and counts bytes. Host
// numbers index the places that it was made with.
type Net struct {
	// Loss is the share of messages that get lost.
	Loss float64
	// Blocked, if set, reports whether nothing passes between two hosts.
	Blocked func(from, to int) bool

	now    clock.Milli
	rand   *rand.Rand
	places []Place
	wheel  [wheelSize][]func()

	// Sent and Received count bytes by host, Messages all messages sent and
	// Link the bytes that crossed regions.
	Sent        []int64
	Received    []int64
	Messages    int64
	CrossRegion int64
}

// NewNet returns a network between hosts at places.
func NewNet(seed uint64, places []Place) *Net {
	return &Net{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		places:   places,
		Sent:     make([]int64, len(places)),
		Received: make([]int64, len(places)),
	}
}

// Now returns the present.
func (n *Net) Now() clock.Milli { return n.now }

// Send calls deliver when a message of some size arrives, unless it is lost.
func (n *Net) Send(from, to, size int, deliver func()) {
	bytes := int64(size + Overhead)
	n.Messages++
	n.Sent[from] += bytes
	a, b := n.places[from], n.places[to]
	if a.Region != b.Region {
		n.CrossRegion += bytes
	}
	if n.rand.Float64() < n.Loss || n.Blocked != nil && n.Blocked(from, to) {
		return
	}
	n.After(Delay(a, b), func() {
		n.Received[to] += bytes
		deliver()
	})
}

// After calls do when d has passed, which must be less than the horizon.
func (n *Net) After(d clock.Milli, do func()) {
	at := (n.now + max(d, 1)) % wheelSize
	n.wheel[at] = append(n.wheel[at], do)
}

// Step moves time by a millisecond and does what is due.
func (n *Net) Step() {
	n.now++
	due := n.wheel[n.now%wheelSize]
	n.wheel[n.now%wheelSize] = nil
	for _, do := range due {
		do()
	}
}

// Reset sets the counters to zero.
func (n *Net) Reset() {
	clear(n.Sent)
	clear(n.Received)
	n.Messages = 0
	n.CrossRegion = 0
}
