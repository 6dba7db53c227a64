package spread

import (
	"errors"
	"math/rand/v2"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// Limits of what a [Store] keeps.
const (
	// MaxHistory is the largest number of periods in the history: more than a
	// day at 1,200 changes a day.
	MaxHistory = 2048
	// MaxRefused is the largest number of refusals kept.
	MaxRefused = 16
	// maxPredecessors is the largest number of earlier values kept as bases of
	// deltas.
	maxPredecessors = 3
)

// Config configures a [Store].
type Config struct {
	Rand *rand.Rand
	// Check validates the bytes of a value.
	Check func(data []byte) (Meta, error)
	// Diff returns a delta from old to data, Apply the bytes that a delta
	// against old yields.
	Diff  func(old, data []byte) ([]byte, error)
	Apply func(old, delta []byte) ([]byte, error)
	// Send sends a part to a host, together with any other data due for that
	// host.
	Send func(now clock.Milli, to string, p Part)
	// Read starts an asynchronous read of the configuration service. Its
	// outcome must be passed to Store.ReadDone. For a Watch, after is the
	// version that the result must exceed.
	Read func(kind ReadKind, after uint64)
	// InRegion reports whether a host is in the daemon's own region.
	InRegion func(host string) bool
	// Applied is called for each value that became active, Refused for each
	// refusal that is not among those kept already. Both may be nil.
	Applied func(now clock.Milli, v Value, from string)
	Refused func(now clock.Milli, r Refusal)
}

// Duty holds the tasks that the daemon has at present in the distribution of
// values.
type Duty struct {
	// Reader reports that the daemon watches the configuration service.
	Reader bool
	// RelayTurn is the turn, from 0, in which the daemon fetches values from
	// another region. It is negative if the daemon is no relay.
	RelayTurn int
	// FleetSize is the number of hosts that share the periodic reads.
	FleetSize int
}

// Store holds the active value of a daemon and exchanges values with other
// daemons. It is not safe for concurrent use.
type Store struct {
	cfg  Config
	duty Duty
	// active is the active value, predecessors the values before it, latest last.
	active       Value
	predecessors []Value
	// deltas holds the deltas to the active value, by the digest of their base.
	deltas      map[string][]byte
	confirmedAt clock.Milli
	history     []Period
	refused     []Refusal
	// pushesLeft is the number of rounds in which the active value is still to be
	// pushed.
	pushesLeft int
	pull       puller
	// ownRegionBytes and crossRegionBytes limit the data sent on request within
	// the region and to other regions.
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

// Current returns the active value. Its version is 0 if there is none.
func (s *Store) Current() Value { return s.active }

// Confirmed returns the latest time at which the active value is known to have
// been the newest one at the service, or Never.
func (s *Store) Confirmed() clock.Milli { return s.confirmedAt }

// History returns the periods in which values were active, oldest first. The
// caller must not change the list; the store does not change it either.
func (s *Store) History() []Period { return s.history }

// Refused returns the latest refusals, oldest first. The caller must not
// change the list; the store does not change it either.
func (s *Store) Refused() []Refusal { return s.refused }

// SetDuty replaces the tasks of the daemon.
func (s *Store) SetDuty(d Duty) { s.duty = d }

// Tick starts the reads and the requests to other daemons that are due.
func (s *Store) Tick(now clock.Milli) {
	s.startReads(now)
	s.requestNewest(now)
}

// Receive handles a part sent by a host.
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

// accept activates the value with the given bytes, or refuses it and returns
// an [*Error]. The active value itself is accepted without effect.
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

// checkSuccession reports whether a valid value may replace the active one. If
// not, it returns the kind and the cause of the refusal.
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

// activate makes a value the active one and starts to push it.
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

// extendHistory ends the latest period and adds one for a new value. It builds
// a new list because callers hold the old one.
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

// refuse records a refusal and returns it as an error. A refusal of the same
// value for the same kind of reason replaces the earlier one and is not
// reported again.
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

// isRefused reports whether the value with a digest was refused for good. Old
// and Damaged do not count: an old value was valid in its time, and a damaged
// delta does not make its value invalid.
func (s *Store) isRefused(digest string) bool {
	return digest != "" && slices.ContainsFunc(s.refused, func(r Refusal) bool {
		return r.Digest == digest && r.Kind != Old && r.Kind != Damaged
	})
}

// lookup returns the active or an earlier value by its digest, if it is kept.
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
