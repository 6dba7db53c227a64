package spread

import (
	"errors"
	"math/rand/v2"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of what a [Store] keeps.
const (
	// MaxHistory bounds the record of what was in force: more than a day at
	// 1,200 changes a day.
	MaxHistory = 2048
	// MaxRefused bounds the refusals that stay visible.
	MaxRefused = 16
	// maxPredecessors bounds the former values kept to make deltas against.
	maxPredecessors = 3
)

// Config is what a [Store] needs.
type Config struct {
	Rand *rand.Rand
	// Check validates the bytes of a value.
	Check func(data []byte) (Meta, error)
	// Diff and Apply make and apply deltas between the bytes of values.
	Diff  func(old, data []byte) ([]byte, error)
	Apply func(old, delta []byte) ([]byte, error)
	// Send passes a part to a host, together with whatever else is due there.
	Send func(now clock.Milli, to string, p Part)
	// Read starts a read of the service.
	Read func(kind ReadKind, after uint64)
	// InRegion reports whether a host is in the own region.
	InRegion func(host string) bool
	// Applied is told of a value that came into force, Refused of one that was
	// refused for the first time.
	Applied func(now clock.Milli, v Value, from string)
	Refused func(now clock.Milli, r Refusal)
}

// Duty is the share of the work that the own host has at present.
type Duty struct {
	// Reader says that the host watches the service.
	Reader bool
	// RelayTurn is the turn, from 0, in which the host asks another region for
	// bytes; it is negative if the host is no relay.
	RelayTurn int
	// FleetSize is the number of hosts that share the seldom reads.
	FleetSize int
}

// Store holds the value in force. It is not safe for concurrent use.
type Store struct {
	cfg          Config
	duty         Duty
	active       Value
	predecessors []Value
	// deltas lead to the value in force, by the digest of their base.
	deltas           map[string][]byte
	confirmedAt      clock.Milli
	history          []Period
	refused          []Refusal
	pushesLeft       int
	pull             puller
	ownRegionBytes   tokenBucket
	crossRegionBytes tokenBucket
	reads            readSchedule
}

// New returns a store without a value.
func New(now clock.Milli, cfg Config) *Store {
	return &Store{
		cfg:         cfg,
		deltas:      make(map[string][]byte),
		confirmedAt: Never,
		duty: Duty{
			RelayTurn: -1,
		},
		ownRegionBytes:   newTokenBucket(now),
		crossRegionBytes: newTokenBucket(now),
		reads:            newReadSchedule(now, cfg.Rand),
	}
}

// Current returns the value in force; its version is 0 if there is none.
func (s *Store) Current() Value { return s.active }

// Confirmed returns the instant up to which the value in force is known to
// have been the newest one at the service, or Never.
func (s *Store) Confirmed() clock.Milli { return s.confirmedAt }

// History returns the record of what was in force, oldest first. It must not be
// changed, and the store won't change it either.
func (s *Store) History() []Period { return s.history }

// Refused returns the latest refusals, oldest first. It must not be changed,
// and the store won't change it either.
func (s *Store) Refused() []Refusal { return s.refused }

// SetDuty tells the store its share of the work.
func (s *Store) SetDuty(d Duty) { s.duty = d }

// Tick does what is due: reads of the service and requests to other daemons.
func (s *Store) Tick(now clock.Milli) {
	s.startReads(now)
	s.requestNewest(now)
}

// Receive takes in a part from a host.
func (s *Store) Receive(now clock.Milli, from string, p Part) {
	if p.Transfer != nil {
		s.receiveTransfer(now, from, *p.Transfer)
	}
	if p.Offer != nil {
		s.receiveOffer(now, from, *p.Offer)
	}
	if p.Fetch != nil {
		s.receiveFetch(now, from, *p.Fetch)
	}
}

// accept takes in the bytes of a value, or returns an [*Error] that says why
// not. The value in force again is no error.
func (s *Store) accept(now clock.Milli, data []byte, from string) error {
	meta, err := s.cfg.Check(data)
	if err != nil {
		return s.refuse(now, meta, from, Invalid, err)
	}
	if meta.Version == s.active.Version && meta.Digest == s.active.Digest {
		return nil
	}
	if kind, err := s.checkSuccession(meta); err != nil {
		return s.refuse(now, meta, from, kind, err)
	}
	s.activate(now, Value{
		Meta:  meta,
		Bytes: data,
	}, from)
	return nil
}

var (
	errOld      = errors.New("version is below the one in force")
	errFork     = errors.New("other bytes under the version in force")
	errParent   = errors.New("predecessor is not the value in force")
	errAncestor = errors.New("predecessor was refused")
)

// checkSuccession decides whether a valid value may follow the one in force.
func (s *Store) checkSuccession(m Meta) (Kind, error) {
	switch {
	case s.active.Version == 0:
		return 0, nil
	case m.Version < s.active.Version:
		return Old, errOld
	case m.Version == s.active.Version:
		return Fork, errFork
	case m.Version == s.active.Version+1 && m.Parent != s.active.Digest:
		return Orphan, errParent
	case s.isRefused(m.Parent):
		return Orphan, errAncestor
	}
	return 0, nil
}

func (s *Store) activate(now clock.Milli, v Value, from string) {
	if s.active.Version > 0 {
		s.predecessors = append(s.predecessors, s.active)
		s.predecessors = s.predecessors[max(0, len(s.predecessors)-maxPredecessors):]
	}
	s.extendHistory(now, v.Meta, from)
	s.active = v
	s.confirmedAt = Never
	clear(s.deltas)
	s.pushesLeft = pushRounds
	s.pull.prune(v.Version)
	if s.cfg.Applied != nil {
		s.cfg.Applied(now, v, from)
	}
}

// extendHistory extends the history, in a new list, for the old one is published.
func (s *Store) extendHistory(now clock.Milli, m Meta, from string) {
	list := slices.Clone(s.history[max(0, len(s.history)+1-MaxHistory):])
	if n := len(list); n > 0 {
		list[n-1].End = now
	}
	s.history = append(list, Period{
		Meta:  m,
		From:  from,
		Start: now,
		End:   Never,
	})
}

// refuse records that a value was not taken and returns the error.
func (s *Store) refuse(now clock.Milli, m Meta, from string, kind Kind, cause error) error {
	err := &Error{
		Op:   "accept",
		Kind: kind,
		Err:  cause,
	}
	r := Refusal{
		Meta:   m,
		At:     now,
		From:   from,
		Kind:   kind,
		Detail: cause.Error(),
	}
	list := slices.DeleteFunc(slices.Clone(s.refused), func(o Refusal) bool {
		return o.Version == m.Version && o.Digest == m.Digest && o.Kind == kind
	})
	known := len(list) < len(s.refused)
	list = append(list, r)
	s.refused = list[max(0, len(list)-MaxRefused):]
	if !known && s.cfg.Refused != nil {
		s.cfg.Refused(now, r)
	}
	return err
}

// isRefused reports whether a digest is known to be that of a bad value. An
// old value is not bad, it only comes too late.
func (s *Store) isRefused(digest string) bool {
	return digest != "" && slices.ContainsFunc(s.refused, func(r Refusal) bool {
		return r.Digest == digest && r.Kind != Old && r.Kind != Damaged
	})
}

// lookup returns the value with a digest among those kept.
func (s *Store) lookup(digest string) (Value, bool) {
	if digest == "" {
		return Value{}, false
	}
	if s.active.Digest == digest {
		return s.active, true
	}
	for _, v := range s.predecessors {
		if v.Digest == digest {
			return v, true
		}
	}
	return Value{}, false
}
