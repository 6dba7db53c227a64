// Package succ determines the successors of a daemon: the daemons that keep
// the outcomes of its requests after it stopped.
//
// A daemon that stops as planned hands its outcomes over to its first
// successors. They are the other instances of its service, ordered by their
// rendezvous hash with its name, so that every daemon computes the same list
// without any announcement. A daemon that cannot resolve a ticket with the
// daemon named in it asks the successors. A change of the inventory after the
// handover can shift the list, so more successors are asked than hold a copy.
package succ

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/internal/state/rules"
)

const (
	// Copies is the number of successors that receive the outcomes.
	Copies = 2
	// Queried is the number of successors that are asked for an outcome.
	Queried = 3
)

// Successors returns the other instances of the service of the named instance,
// the most preferred first. It returns none if the rules do not list the name.
func Successors(set *rules.Set, name string) []*rules.Target {
	self, ok := set.Target(name)
	if !ok {
		return nil
	}
	return SuccessorsIn(set, self.Service, name)
}

// SuccessorsIn returns the successors of an instance of the service. The rules
// need not list the instance any more.
func SuccessorsIn(set *rules.Set, service, name string) []*rules.Target {
	successors := slices.DeleteFunc(slices.Clone(set.Targets(service)), func(t *rules.Target) bool {
		return t.Name == name
	})
	slices.SortFunc(successors, func(a, b *rules.Target) int {
		// The higher score goes first; names break ties.
		if x, y := score(name, a.Name), score(name, b.Name); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return slices.Compare([]byte(a.Name), []byte(b.Name))
	})
	return successors
}

// score returns the rendezvous hash of a successor for the named instance.
func score(name, successor string) uint64 {
	return xxhash.Sum64String(name + "\x00" + successor)
}
