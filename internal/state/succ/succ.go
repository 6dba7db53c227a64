// Package succ tells which daemons keep the outcomes of one that stopped.
//
// A daemon that stops as planned hands its outcomes to the first daemons of a
// list that everyone works out alike: the other instances of its service in
// the order of their rendezvous hash with its name. No one has to be told.
// Whoever cannot resolve a ticket with the daemon that it names asks the same
// list. A change of the inventory in between can move the list, so a few more
// daemons are asked than hold a copy.
package succ

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/internal/state/rules"
)

const (
	// Copies is the number of daemons that take over the outcomes.
	Copies = 2
	// Queried is the number of daemons that are asked for them.
	Queried = 3
)

// Successors returns the other instances of the service of the named one, the most
// preferred first. It returns none for a name that the rules do not list.
func Successors(set *rules.Set, name string) []*rules.Target {
	self, ok := set.Target(name)
	if !ok {
		return nil
	}
	return SuccessorsIn(set, self.Service, name)
}

// SuccessorsIn returns the heirs of an instance of the service that the rules may
// no longer list.
func SuccessorsIn(set *rules.Set, service, name string) []*rules.Target {
	heirs := slices.DeleteFunc(slices.Clone(set.Targets(service)), func(t *rules.Target) bool {
		return t.Name == name
	})
	slices.SortFunc(heirs, func(a, b *rules.Target) int {
		// The higher score goes first; names break ties.
		if x, y := score(name, a.Name), score(name, b.Name); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return slices.Compare([]byte(a.Name), []byte(b.Name))
	})
	return heirs
}

func score(name, heir string) uint64 {
	return xxhash.Sum64String(name + "\x00" + heir)
}
