package rules

import (
	"fmt"
	"strings"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// sampleDocument returns a valid document in which shop/pay calls bank/move and
// bank/read.
func sampleDocument() Document {
	return Document{
		Version:     1,
		Author:      "awa",
		Reason:      "first",
		RetryBudget: 2,
		Regions: []Region{
			{
				Name:    "dakar",
				Centres: []string{"a", "b"},
			},
		},
		Callers: []Caller{
			{
				Name:    "wallet",
				Secret:  strings.Repeat("0a", 32),
				Ceiling: Vital,
			},
			{
				Name:    "till",
				Secret:  strings.Repeat("0b", 32),
				Ceiling: Normal,
			},
		},
		Services: []Service{
			sampleService("shop", 1000, sampleOp("pay", "bank/move", "bank/read")),
			sampleService("bank", 2000, sampleOp("move"), Operation{
				Name:     "read",
				Deadline: clock.Second,
				Hedge:    true,
			}),
		},
		Leaving: []string{"bank-2"},
		Objectives: []Objective{
			{
				Service: "shop",
				Good:    999_000,
				Latency: 500,
			},
		},
	}
}

func sampleOp(name string, calls ...string) Operation {
	return Operation{
		Name:       name,
		Importance: Vital,
		AtMostOnce: true,
		Deadline:   2 * clock.Second,
		Calls:      calls,
	}
}

func sampleService(name string, port int, operations ...Operation) Service {
	s := Service{
		Name:       name,
		Owner:      "core",
		Operations: operations,
	}
	for n := 1; n <= 2; n++ {
		s.Instances = append(s.Instances, Instance{
			Name:     fmt.Sprintf("%s-%d", name, n),
			Place:    "dakar/a",
			Host:     "127.0.0.1",
			Inbound:  port + 10*n,
			Outbound: port + 10*n + 1,
			Control:  port + 10*n + 2,
			Operator: port + 10*n + 3,
			Slots:    8,
			Conns:    20,
		})
	}
	return s
}

func TestSet(t *testing.T) {
	doc := sampleDocument()
	s, err := New(doc, "d")
	if err != nil {
		t.Fatal(err)
	}
	doc.Services[0].Name = "changed"
	if s.Version() != 1 || s.Digest() != "d" || s.Document().Services[0].Name != "shop" {
		t.Errorf("the Set changed with the document that was passed to New")
	}
	if op, ok := s.Op("bank/read"); !ok || op.Service != "bank" || !op.Hedge {
		t.Errorf("Op(bank/read) = %+v, %v", op, ok)
	}
	if target, ok := s.Target("bank-2"); !ok || !target.Leaving || target.Region != "dakar" || target.Centre != "a" {
		t.Errorf("Target(bank-2) = %+v, %v", target, ok)
	}
	if targets := s.Targets("shop"); len(targets) != 2 || targets[0].Name != "shop-1" || targets[0].Leaving {
		t.Errorf("Targets(shop) = %v", targets)
	}
	if caller, ok := s.Caller(strings.Repeat("0b", 32)); !ok || caller.Name != "till" {
		t.Errorf("Caller = %+v, %v", caller, ok)
	}
	_, isOp := s.Op("bank/lend")
	_, isTarget := s.Target("bank-3")
	_, isCaller := s.Caller("")
	_, isService := s.Service("mall")
	if isOp || isTarget || isCaller || isService {
		t.Error("found an entry that the document does not list")
	}
}
