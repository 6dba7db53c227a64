package fleet

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// wheelSize is the number of slots of the timer wheel, one for each
	// millisecond. Every delay is shorter. It is a power of two.
	wheelSize = 4096 * clock.Millisecond
	// Overhead is the number of bytes added to each message for its transport:
	// the headers of its segment and of the acknowledgment, and the frame.
	Overhead = 120
)

// Place is the location of a host.
type Place struct {
	Region string
	Centre string
}

// Delay returns the one-way latency of a message between two places.
func Delay(from, to Place) clock.Milli {
	if from.Region != to.Region {
		return 20 * clock.Millisecond
	}
	return clock.Millisecond
}

// Net simulates a network with delay and loss and counts the bytes sent. It
// holds the simulated clock too. Hosts are identified by their index in the
// places passed to [NewNet].
type Net struct {
	// Loss is the share of messages that are lost, from 0 to 1.
	Loss float64
	// Blocked, if set, reports whether messages from one host to another are
	// dropped.
	Blocked func(from, to int) bool

	now    clock.Milli
	rand   *rand.Rand
	places []Place
	// wheel holds the functions to call, by time modulo wheelSize.
	wheel [wheelSize][]func()

	// Sent and Received count bytes by host. Messages counts all messages sent,
	// CrossRegion the bytes sent from one region to another. All but Received
	// include lost messages.
	Sent        []int64
	Received    []int64
	Messages    int64
	CrossRegion int64
}

// NewNet returns a network with one host at each of the places.
func NewNet(seed uint64, places []Place) *Net {
	return &Net{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		places:   places,
		Sent:     make([]int64, len(places)),
		Received: make([]int64, len(places)),
	}
}

// Now returns the simulated time.
func (n *Net) Now() clock.Milli { return n.now }

// Send sends a message of size bytes, without the [Overhead]. It calls deliver
// when the message arrives and never if the message is lost or blocked.
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

// After calls do after d, but not before the next step. d must be less than
// [wheelSize].
func (n *Net) After(d clock.Milli, do func()) {
	at := (n.now + max(d, 1)) % wheelSize
	n.wheel[at] = append(n.wheel[at], do)
}

// Step advances the clock by a millisecond and calls the functions that are
// due.
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
