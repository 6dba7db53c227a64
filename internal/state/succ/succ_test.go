package succ

import (
	"slices"
	"strconv"
	"testing"

	"siskinswitch.example/siskin/internal/state/rules"
)

// newSet returns rules with one service that has the named instances.
func newSet(t *testing.T, names []string) *rules.Set {
	t.Helper()
	doc := rules.Document{
		Version: 1,
		Author:  "tests",
		Reason:  "tests",
		Regions: []rules.Region{
			{
				Name:    "west",
				Centres: []string{"w1"},
			},
		},
		Services: []rules.Service{
			{
				Name:  "shop",
				Owner: "tests",
				Operations: []rules.Operation{
					{
						Name:     "read",
						Deadline: 1000,
					},
				},
			},
		},
	}
	for i, name := range names {
		doc.Services[0].Instances = append(doc.Services[0].Instances, rules.Instance{
			Name:     name,
			Place:    "west/w1",
			Host:     "127.0.0." + strconv.Itoa(i+1),
			Inbound:  7001,
			Outbound: 7002,
			Control:  7003,
			Operator: 7004,
			Slots:    8,
			Conns:    64,
		})
	}
	set, err := rules.New(doc, "digest")
	if err != nil {
		t.Fatalf("rules: %v", err)
	}
	return set
}

func namesOf(targets []*rules.Target) []string {
	names := make([]string, 0, len(targets))
	for _, target := range targets {
		names = append(names, target.Name)
	}
	return names
}

// TestSuccessors checks that the list of successors does not depend on the
// order of the rules, and stays the same after the instance left the rules.
func TestSuccessors(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	backwards := slices.Clone(names)
	slices.Reverse(backwards)
	set, other := newSet(t, names), newSet(t, backwards)
	firsts := make(map[string]bool)
	for _, name := range names {
		successors := namesOf(Successors(set, name))
		if len(successors) != len(names)-1 || slices.Contains(successors, name) {
			t.Errorf("successors of %s: %v", name, successors)
		}
		if again := namesOf(Successors(other, name)); !slices.Equal(successors, again) {
			t.Errorf("successors of %s depend on the order of the rules: %v and %v", name, successors, again)
		}
		without := newSet(t, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name }))
		if after := namesOf(SuccessorsIn(without, "shop", name)); !slices.Equal(successors, after) {
			t.Errorf("successors of %s after it left: %v, want %v", name, after, successors)
		}
		firsts[successors[0]] = true
	}
	if len(firsts) < 2 {
		t.Errorf("all instances have the first successor %v", firsts)
	}
	if successors := Successors(set, "absent"); len(successors) != 0 {
		t.Errorf("successors of an instance that the rules do not list: %v", namesOf(successors))
	}
}
