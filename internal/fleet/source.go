package fleet

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// watchTimeout is how long the stand-in keeps a watch waiting.
	watchTimeout = 30 * clock.Second
	// responseDelay is how long the stand-in takes for an answer.
	responseDelay = 5 * clock.Millisecond
)

var (
	errDown    = errors.New("service is down")
	errUnknown = errors.New("value was never published")
)

// Source is the stand-in for the configuration service. It knows all values
// ever published, so that the check of an agent is a look-up by digest.
type Source struct {
	net          *Net
	metaByDigest map[string]agent.Meta
	value        []byte
	meta         agent.Meta
	peers        []member.Peer
	watches      []watch

	// Reachable, if set, reports whether a host gets answers.
	Reachable func(host int) bool
	// Reads counts the calls by second of the run.
	Reads map[clock.Milli]int
}

type watch struct {
	host   int
	after  uint64
	until  clock.Milli
	answer func([]byte, error)
}

func newSource(n *Net, peers []member.Peer) *Source {
	return &Source{
		net:          n,
		metaByDigest: make(map[string]agent.Meta),
		peers:        peers,
		Reads:        make(map[clock.Milli]int),
	}
}

// NewValue returns a value without publishing it: a body with a new line in its
// middle, as an edit of one rule would change it.
func (s *Source) NewValue(version uint64, parent string, size int, line string) ([]byte, spread.Meta) {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte('a' + i%23)
	}
	copy(data[size/2:], fmt.Sprintf("%020d %s %s", version, parent, line))
	sum := sha256.Sum256(data)
	m := spread.Meta{
		Version: version,
		Digest:  hex.EncodeToString(sum[:]),
		Parent:  parent,
		Author:  "operator",
		Reason:  line,
	}
	s.metaByDigest[m.Digest] = agent.Meta{
		Meta:  m,
		Peers: s.peers,
	}
	return data, m
}

// Publish puts a successor of the present value in its place.
func (s *Source) Publish(size int) spread.Meta {
	data, m := s.NewValue(s.meta.Version+1, s.meta.Digest, size, "change")
	s.Set(data)
	return m
}

// Rewrite publishes a successor that shares next to nothing with the present
// value, so that no delta saves anything.
func (s *Source) Rewrite(size int) spread.Meta {
	data, m := s.NewValue(s.meta.Version+1, s.meta.Digest, size, "rewrite")
	for i := range data {
		data[i] ^= byte(m.Version * 41)
	}
	sum := sha256.Sum256(data)
	m.Digest = hex.EncodeToString(sum[:])
	s.metaByDigest[m.Digest] = agent.Meta{
		Meta:  m,
		Peers: s.peers,
	}
	s.Set(data)
	return m
}

// Set puts a value in place, be it older than the present one.
func (s *Source) Set(data []byte) {
	m, _ := s.Check(data)
	s.value = data
	s.meta = m
	watches := s.watches
	s.watches = nil
	for _, w := range watches {
		s.addWatch(w)
	}
}

// Check is the agents' check of a value.
func (s *Source) Check(data []byte) (agent.Meta, error) {
	sum := sha256.Sum256(data)
	m, ok := s.metaByDigest[hex.EncodeToString(sum[:])]
	if !ok {
		return agent.Meta{}, errUnknown
	}
	return m, nil
}

func (s *Source) read(host int, kind spread.ReadKind, after uint64, answer func([]byte, error)) {
	s.Reads[s.net.Now()/clock.Second]++
	if kind == spread.Get {
		s.answer(host, answer)
		return
	}
	s.addWatch(watch{
		host:   host,
		after:  after,
		until:  s.net.Now() + watchTimeout,
		answer: answer,
	})
}

func (s *Source) answer(host int, answer func([]byte, error)) {
	s.net.After(responseDelay, func() {
		if s.value == nil || s.Reachable != nil && !s.Reachable(host) {
			answer(nil, errDown)
			return
		}
		answer(s.value, nil)
	})
}

// addWatch answers a watch at once if it can, and else keeps it.
func (s *Source) addWatch(w watch) {
	if s.Reachable != nil && !s.Reachable(w.host) || s.meta.Version > w.after {
		s.answer(w.host, w.answer)
		return
	}
	s.watches = append(s.watches, w)
}

// expireWatches ends the watches that waited long enough or lost the service.
func (s *Source) expireWatches() {
	kept := s.watches[:0]
	for _, w := range s.watches {
		switch {
		case s.Reachable != nil && !s.Reachable(w.host):
			w.answer(nil, errDown)
		case s.net.Now() >= w.until:
			w.answer(nil, nil)
		default:
			kept = append(kept, w)
		}
	}
	s.watches = kept
}

// diff returns what differs between the common start and the common end of two
// values, with the lengths of both.
func diff(old, data []byte) ([]byte, error) {
	limit := min(len(old), len(data))
	head := 0
	for head < limit && old[head] == data[head] {
		head++
	}
	tail := 0
	for tail < limit-head && old[len(old)-1-tail] == data[len(data)-1-tail] {
		tail++
	}
	delta := binary.AppendUvarint(nil, uint64(head))
	delta = binary.AppendUvarint(delta, uint64(tail))
	return append(delta, data[head:len(data)-tail]...), nil
}

var errDelta = errors.New("delta does not fit the value")

func apply(old, delta []byte) ([]byte, error) {
	head, n := binary.Uvarint(delta)
	if n <= 0 {
		return nil, errDelta
	}
	tail, k := binary.Uvarint(delta[n:])
	if k <= 0 || head+tail > uint64(len(old)) {
		return nil, errDelta
	}
	data := append([]byte(nil), old[:head]...)
	data = append(data, delta[n+k:]...)
	return append(data, old[uint64(len(old))-tail:]...), nil
}
