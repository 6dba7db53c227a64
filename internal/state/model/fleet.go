package model

import (
	"maps"
	"slices"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// MissingGrace is how long a target is kept whose record was missing when the
// store became reachable again after an outage. Records that expired during the
// outage are written again within two seconds of its end.
const MissingGrace = 2100 * clock.Millisecond

// Fleet is an immutable set of targets.
type Fleet struct {
	// Targets holds the usable and the leaving targets by id.
	Targets map[string]Target
	// Loaded says that the targets have been read at least once.
	Loaded bool
	// missing holds the ids of the targets that are kept without a record, each
	// with the instant at which it is dropped.
	missing map[string]clock.Milli
}

// WithList returns the fleet after a complete list of targets was read. If
// keepMissing is set, as after an outage of the store, targets of f that are
// not in the list are kept until MissingGrace has passed. A target that is
// already kept in this way keeps its instant, whatever keepMissing says.
func (f Fleet) WithList(now clock.Milli, targets []Target, keepMissing bool) Fleet {
	next := Fleet{
		Targets: make(map[string]Target, len(targets)),
		Loaded:  true,
		missing: make(map[string]clock.Milli),
	}
	for _, t := range targets {
		next.Targets[t.ID] = t
	}
	for id, t := range f.Targets {
		if _, ok := next.Targets[id]; ok {
			continue
		}
		until, ok := f.missing[id]
		switch {
		case ok:
		case keepMissing:
			until = now + MissingGrace
		default:
			continue
		}
		if now < until {
			next.Targets[id] = t
			next.missing[id] = until
		}
	}
	return next
}

// WithTarget returns the fleet with t added, in place of any target with the
// same id.
func (f Fleet) WithTarget(t Target) Fleet {
	next := f.clone()
	next.Targets[t.ID] = t
	delete(next.missing, t.ID)
	return next
}

// Without returns the fleet without the target called id.
func (f Fleet) Without(id string) Fleet {
	next := f.clone()
	delete(next.Targets, id)
	delete(next.missing, id)
	return next
}

// WithoutExpired returns the fleet without the targets whose record has been
// missing for MissingGrace, and whether there were any.
func (f Fleet) WithoutExpired(now clock.Milli) (Fleet, bool) {
	due := false
	for _, until := range f.missing {
		due = due || now >= until
	}
	if !due {
		return f, false
	}
	next := f.clone()
	for id, until := range f.missing {
		if now >= until {
			delete(next.Targets, id)
			delete(next.missing, id)
		}
	}
	return next, true
}

func (f Fleet) clone() Fleet {
	next := f
	next.Targets = maps.Clone(f.Targets)
	next.missing = maps.Clone(f.missing)
	if next.Targets == nil {
		next.Targets = make(map[string]Target)
	}
	if next.missing == nil {
		next.missing = make(map[string]clock.Milli)
	}
	return next
}

// ByService returns the targets of a service, sorted by id.
func (f Fleet) ByService(service string) []Target {
	var targets []Target
	for _, t := range f.Targets {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}
