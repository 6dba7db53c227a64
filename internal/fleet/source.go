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
	// watchTimeout is the time after which the fake service ends a watch
	// without a newer value.
	watchTimeout = 30 * clock.Second
	// responseDelay is the time that the fake service takes to answer.
	responseDelay = 5 * clock.Millisecond
)

var (
	errDown    = errors.New("configuration service is unreachable")
	errUnknown = errors.New("value is unknown to the configuration service")
)

// Source is the fake configuration service. It keeps the metadata of all values
// ever made, so that [Source.Check] is a lookup by digest.
type Source struct {
	net          *Net
	metaByDigest map[string]agent.Meta
	value        []byte
	meta         agent.Meta
	peers        []member.Peer
	watches      []watch

	// Reachable, if set, reports whether a host can reach the service. If it is
	// nil, every host can.
	Reachable func(host int) bool
	// Reads counts the requests by second of the simulated time.
	Reads map[clock.Milli]int
}

// watch is a pending request for a value newer than version after.
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

// NewValue returns a value and its metadata without publishing the value. Two
// values of the same size differ only in one line in the middle, as after the
// edit of a single rule.
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

// Publish replaces the current value by a successor that differs in one line.
func (s *Source) Publish(size int) spread.Meta {
	data, m := s.NewValue(s.meta.Version+1, s.meta.Digest, size, "change")
	s.Set(data)
	return m
}

// Rewrite replaces the current value by a successor with almost nothing in
// common, so that a delta is no shorter than the value.
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

// Set makes data the current value, even if it is older than the previous one,
// and answers the watches that it satisfies. The value must come from
// [Source.NewValue].
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

// Check returns the metadata of a value, or an error if the source never made
// the value. Agents call it to validate values.
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

// addWatch answers a watch at once if a newer value exists or the service is
// not reachable from the host. Otherwise it keeps the watch.
func (s *Source) addWatch(w watch) {
	if s.Reachable != nil && !s.Reachable(w.host) || s.meta.Version > w.after {
		s.answer(w.host, w.answer)
		return
	}
	s.watches = append(s.watches, w)
}

// expireWatches ends the watches that timed out and those whose host can no
// longer reach the service.
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

// diff returns a delta from old to data: the lengths of their common prefix and
// common suffix, and the bytes of data between the two.
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

var errDelta = errors.New("delta does not match the old value")

// apply returns the value that a delta made by [diff] turns old into.
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
