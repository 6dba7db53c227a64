package quota

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// One of so many daemons is a lender, within the limits minLenders and
	// maxLenders. More lenders spread the load of large accounts; fewer cost each
	// daemon fewer messages.
	daemonsPerLender = 8
	minLenders       = 8
	maxLenders       = 32
)

// Members is an immutable set of daemons, each named by its host. All daemons with the
// same set choose the same lenders; sets that differ by a few hosts differ in a few
// lenders.
type Members struct {
	count  int
	digest uint64
	// isMember says that the own host is in the set, and so owns a share.
	isMember bool
	lenders  []string
	// order holds for each shard the positions of all lenders, the preferred first.
	order [Shards][]uint8
}

// NewMembers returns the set of the hosts, which must differ from each other.
func NewMembers(self string, hosts []string) *Members {
	m := &Members{
		count:    len(hosts),
		digest:   DigestOf(hosts),
		isMember: slices.Contains(hosts, self),
		lenders:  slices.Clone(hosts),
	}
	sortByScore(m.lenders, func(host string) uint64 { return score(Shards, host) })
	size := min(max(len(hosts)/daemonsPerLender, minLenders), maxLenders, len(hosts))
	m.lenders = m.lenders[:size]
	for shard := range m.order {
		order := make([]uint8, size)
		for i := range order {
			order[i] = uint8(i)
		}
		sortByScore(order, func(i uint8) uint64 { return score(shard, m.lenders[i]) })
		m.order[shard] = order
	}
	return m
}

// DigestOf returns a digest of a set of hosts in any order.
func DigestOf(hosts []string) uint64 {
	digest := uint64(len(hosts))
	for _, host := range hosts {
		digest += score(Shards, host)
	}
	return digest
}

// Digest returns the digest of the hosts, see [DigestOf].
func (m *Members) Digest() uint64 { return m.digest }

// Count returns the number of hosts.
func (m *Members) Count() int { return m.count }

// Lenders returns the lenders. The caller must not modify them.
func (m *Members) Lenders() []string { return m.lenders }

// shareEvery returns the interval at which shares are sent.
func (m *Members) shareEvery() clock.Milli {
	if len(m.lenders) > largeLenders {
		return largeShareEvery
	}
	return shareEvery
}

// lender returns the preferred lender of a shard among those that are usable, and
// false if none is.
func (m *Members) lender(shard int, isUsable func(host string) bool) (string, bool) {
	for _, i := range m.order[shard] {
		if host := m.lenders[i]; isUsable(host) {
			return host, true
		}
	}
	return "", false
}

// score returns the rank of a host as the lender of a shard.
func score(shard int, host string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(host))
	return xxhash.Sum64(append(seed[:], byte(shard)))
}

// sortByScore sorts list by falling score.
func sortByScore[T cmp.Ordered](list []T, scoreOf func(T) uint64) {
	scores := make(map[T]uint64, len(list))
	for _, v := range list {
		scores[v] = scoreOf(v)
	}
	slices.SortFunc(list, func(a, b T) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
}
