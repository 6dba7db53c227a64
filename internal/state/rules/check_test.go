package rules

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestNewRefuses(t *testing.T) {
	tests := map[string]struct {
		change func(d *Document)
		path   string
		text   string
	}{
		"version is zero": {
			change: func(d *Document) { d.Version = 0 },
			path:   "version",
			text:   "at least 1",
		},
		"no parent": {
			change: func(d *Document) { d.Version = 2 },
			path:   "parent",
			text:   "digest of its predecessor",
		},
		"first version has a parent": {
			change: func(d *Document) { d.Parent = strings.Repeat("0", 64) },
			path:   "parent",
			text:   "must be empty",
		},
		"no author": {
			change: func(d *Document) { d.Author = " " },
			path:   "author",
			text:   "must not be empty",
		},
		"long reason": {
			change: func(d *Document) { d.Reason = strings.Repeat("x", MaxReasonBytes+1) },
			path:   "reason",
			text:   "1001 bytes",
		},
		"allowance": {
			change: func(d *Document) { d.RetryBudget = -1 },
			path:   "allowance",
			text:   "-1 is outside 0 to 100",
		},
		"no regions": {
			change: func(d *Document) { d.Regions = nil },
			path:   "regions",
			text:   "at least one region",
		},
		"centre twice": {
			change: func(d *Document) { d.Regions[0].Centres[1] = "a" },
			path:   "regions[0].centres[1]",
			text:   "regions[0].centres[0]",
		},
		"name with a capital": {
			change: func(d *Document) { d.Regions[0].Centres[1] = "B" },
			path:   "regions[0].centres[1]",
			text:   "is not a valid name",
		},
		"secret is not a digest": {
			change: func(d *Document) { d.Callers[1].Secret = "open sesame" },
			path:   "callers[1].secret",
			text:   "SHA-256",
		},
		"secret twice": {
			change: func(d *Document) { d.Callers[1].Secret = d.Callers[0].Secret },
			path:   "callers[1].secret",
			text:   "callers[0].secret",
		},
		"ceiling": {
			change: func(d *Document) { d.Callers[0].Ceiling = 9 },
			path:   "callers[0].ceiling",
			text:   "not an importance level",
		},
		"service twice": {
			change: func(d *Document) { d.Services[1].Name = "shop" },
			path:   "services[1].name",
			text:   "is already used at services[0].name",
		},
		"no owner": {
			change: func(d *Document) { d.Services[0].Owner = "" },
			path:   "services[0].owner",
			text:   "owner",
		},
		"no operations": {
			change: func(d *Document) { d.Services[1].Operations = nil },
			path:   "services[1].operations",
			text:   "at least one operation",
		},
		"no instances": {
			change: func(d *Document) { d.Services[0].Instances = nil },
			path:   "services[0].instances",
			text:   "at least one instance",
		},
		"operation twice": {
			change: func(d *Document) { d.Services[1].Operations[1].Name = "move" },
			path:   "services[1].operations[1].name",
			text:   "is already used",
		},
		"importance": {
			change: func(d *Document) { d.Services[1].Operations[0].Importance = 4 },
			path:   "services[1].operations[0].importance",
			text:   "not an importance level",
		},
		"cost": {
			change: func(d *Document) { d.Services[1].Operations[0].Cost = 2 },
			path:   "services[1].operations[0].cost",
			text:   "not a cost class",
		},
		"deadline": {
			change: func(d *Document) { d.Services[1].Operations[1].Deadline = 0 },
			path:   "services[1].operations[1].deadline",
			text:   "0 is outside 1 to 3600000",
		},
		"hedged non-idempotent operation": {
			change: func(d *Document) { d.Services[1].Operations[0].Hedge = true },
			path:   "services[1].operations[0].hedge",
			text:   "run it twice",
		},
		"call of an unknown operation": {
			change: func(d *Document) { d.Services[0].Operations[0].Calls[1] = "bank/lend" },
			path:   "services[0].operations[0].calls[1]",
			text:   `no operation is called "bank/lend"`,
		},
		"call twice": {
			change: func(d *Document) { d.Services[0].Operations[0].Calls[1] = "bank/move" },
			path:   "services[0].operations[0].calls[1]",
			text:   "twice",
		},
		"cycle": {
			change: func(d *Document) { d.Services[1].Operations[0].Calls = []string{"shop/pay"} },
			path:   "services[1].operations[0].calls[0]",
			text:   "cycle: shop/pay > bank/move > shop/pay",
		},
		"calls itself": {
			change: func(d *Document) { d.Services[1].Operations[0].Calls = []string{"bank/move"} },
			path:   "services[1].operations[0].calls[0]",
			text:   "cycle: bank/move > bank/move",
		},
		"idempotent operation calls a non-idempotent one": {
			change: func(d *Document) { d.Services[0].Operations[0].AtMostOnce = false },
			path:   "services[0].operations[0].calls[0]",
			text:   "shop/pay must be once-only too",
		},
		"short operation calls a long one": {
			change: func(d *Document) { d.Services[1].Operations[1].Cost = Long },
			path:   "services[0].operations[0].calls[1]",
			text:   "which is long",
		},
		"callee has a longer deadline": {
			change: func(d *Document) { d.Services[1].Operations[0].Deadline = 2001 },
			path:   "services[0].operations[0].calls[0]",
			text:   "2001 ms, is longer than the 2000 ms",
		},
		"instance twice": {
			change: func(d *Document) { d.Services[1].Instances[0].Name = "shop-1" },
			path:   "services[1].instances[0].name",
			text:   "is already used at services[0].instances[0].name",
		},
		"place": {
			change: func(d *Document) { d.Services[0].Instances[0].Place = "dakar/c" },
			path:   "services[0].instances[0].place",
			text:   "dakar/c",
		},
		"host name instead of an address": {
			change: func(d *Document) { d.Services[0].Instances[0].Host = "localhost" },
			path:   "services[0].instances[0].host",
			text:   "not an IP address",
		},
		"unspecified address": {
			change: func(d *Document) { d.Services[0].Instances[0].Host = "0.0.0.0" },
			path:   "services[0].instances[0].host",
			text:   "not the address of one host",
		},
		"address in non-canonical form": {
			change: func(d *Document) { d.Services[0].Instances[0].Host = "0:0::1" },
			path:   "services[0].instances[0].host",
			text:   "as ::1",
		},
		"port": {
			change: func(d *Document) { d.Services[0].Instances[0].Control = 70_000 },
			path:   "services[0].instances[0].control",
			text:   "70000 is outside 1 to 65535",
		},
		"port twice": {
			change: func(d *Document) { d.Services[0].Instances[1].Control = 1010 },
			path:   "services[0].instances[1].control",
			text:   "taken by instance shop-1",
		},
		"slots": {
			change: func(d *Document) { d.Services[0].Instances[0].Slots = 0 },
			path:   "services[0].instances[0].slots",
			text:   "0 is outside",
		},
		"fewer connections than slots": {
			change: func(d *Document) { d.Services[0].Instances[0].Conns = 7 },
			path:   "services[0].instances[0].conns",
			text:   "7 connections cannot fill 8 slots",
		},
		"unknown instance is leaving": {
			change: func(d *Document) { d.Leaving = []string{"bank-3"} },
			path:   "leaving[0]",
			text:   "bank-3",
		},
		"leaving twice": {
			change: func(d *Document) { d.Leaving = []string{"bank-1", "bank-1"} },
			path:   "leaving[1]",
			text:   "is already used",
		},
		"objective of an unknown service": {
			change: func(d *Document) { d.Objectives[0].Service = "mall" },
			path:   "objectives[0].service",
			text:   "mall",
		},
		"objective without an error budget": {
			change: func(d *Document) { d.Objectives[0].Good = Million },
			path:   "objectives[0].good",
			text:   "outside 1 to 999999",
		},
		"objective latency": {
			change: func(d *Document) { d.Objectives[0].Latency = 0 },
			path:   "objectives[0].latency",
			text:   "outside",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := sampleDocument()
			tt.change(&doc)
			_, err := New(doc, "")
			var invalid *Error
			if !errors.As(err, &invalid) || invalid.Kind != KindInvalid {
				t.Fatalf("New: %v, want an *Error of KindInvalid", err)
			}
			for _, p := range invalid.Problems {
				if p.Path == tt.path && strings.Contains(p.Text, tt.text) {
					return
				}
			}
			t.Errorf("New: %v, want %s: ...%s...", invalid.Problems, tt.path, tt.text)
		})
	}
}

func TestNewListsEveryProblem(t *testing.T) {
	doc := sampleDocument()
	doc.Author = ""
	doc.Services[0].Instances[0].Slots = 0
	doc.Leaving = []string{"bank-3"}
	_, err := New(doc, "")
	var invalid *Error
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("New: %v, want three problems", err)
	}
}

// A chain of calls may have at most MaxDepth operations. Each operation that
// may reach a non-idempotent one must itself be marked as non-idempotent, and
// each one that is not must be reported.
func TestDepth(t *testing.T) {
	tests := map[string]struct {
		length     int
		atMostOnce bool
		want       int
	}{
		"as deep as allowed": {
			length: MaxDepth,
		},
		"one too deep": {
			length: MaxDepth + 1,
			want:   1,
		},
		"three too deep is reported once": {
			length: MaxDepth + 3,
			want:   1,
		},
		"non-idempotent operation at the end": {
			length:     4,
			atMostOnce: true,
			want:       3,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := sampleDocument()
			for n := range tt.length {
				operation := sampleOp(fmt.Sprintf("o%d", n), fmt.Sprintf("bank/o%d", n+1))
				operation.AtMostOnce = false
				if n == tt.length-1 {
					operation.AtMostOnce = tt.atMostOnce
					operation.Calls = nil
				}
				doc.Services[1].Operations = append(doc.Services[1].Operations, operation)
			}
			if got := Check(doc); len(got) != tt.want {
				t.Errorf("Check = %v, want %d problems", got, tt.want)
			}
		})
	}
}
