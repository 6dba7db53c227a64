package config

import (
	"slices"
	"strings"
	"testing"
)

const basicDocument = `{
  "version": 1, "parent": "", "author": "awa", "reason": "first", "allowance": 2,
  "regions": [{"name": "dakar", "centres": ["a"]}, {"name": "thies", "centres": ["b"]}],
  "callers": [{"name": "till", "ceiling": "high",
    "secret": "0000000000000000000000000000000000000000000000000000000000000000"}],
  "services": [{
    "name": "shop", "owner": "core",
    "operations": [{"name": "pay", "importance": "vital", "once": true, "deadline": 100, "calls": ["bank/read"]}],
    "instances": [
      {"name": "shop-1", "place": "dakar/a", "host": "127.0.0.1",
       "inbound": 1, "outbound": 2, "control": 3, "operator": 4, "slots": 5, "conns": 6}]
  }, {
    "name": "bank", "owner": "money",
    "operations": [{"name": "read", "importance": "high", "deadline": 80}, {"name": "audit", "importance": "spare", "deadline": 80}],
    "instances": [
      {"name": "bank-1", "place": "dakar/a", "host": "127.0.0.1",
       "inbound": 11, "outbound": 12, "control": 13, "operator": 14, "slots": 5, "conns": 6},
      {"name": "bank-2", "place": "thies/b", "host": "127.0.0.1",
       "inbound": 21, "outbound": 22, "control": 23, "operator": 24, "slots": 5, "conns": 6}]
  }]
}`

func TestChanges(t *testing.T) {
	tests := map[string]struct {
		old        string
		new        string
		text       string
		warn       bool
		targets    string
		operations string
	}{
		"allowance": {
			old:  `"allowance": 2`,
			new:  `"allowance": 3`,
			text: "a root request gets 3 extra attempts instead of 2",
		},
		"centre": {
			old:  `["a"]`,
			new:  `["a", "c"]`,
			text: "region dakar gains data centre c",
		},
		"caller secret": {
			old:  `"0000`,
			new:  `"1111`,
			text: "requests with the old token will be refused",
			warn: true,
		},
		"caller ceiling": {
			old:  `"ceiling": "high"`,
			new:  `"ceiling": "normal"`,
			text: "from high to normal",
			warn: true,
		},
		"caller renamed": {
			old:  `"till"`,
			new:  `"kiosk"`,
			text: "caller till is removed",
			warn: true,
		},
		"owner": {
			old:  `"money"`,
			new:  `"core"`,
			text: "service bank passes from money to core",
		},
		"service renamed": {
			old:        `"bank"`,
			new:        `"vault"`,
			text:       "service bank is removed",
			warn:       true,
			targets:    "bank-1 bank-2",
			operations: "bank/audit bank/read shop/pay",
		},
		"operation removed": {
			old:        `, {"name": "audit", "importance": "spare", "deadline": 80}`,
			text:       "operation bank/audit is removed",
			warn:       true,
			operations: "bank/audit",
		},
		"change affects the callers of an operation": {
			old:        `"deadline": 80`,
			new:        `"deadline": 70`,
			text:       "deadline changes from 80 to 70",
			operations: "bank/read shop/pay",
		},
		"deadline halved": {
			old:        `"deadline": 80`,
			new:        `"deadline": 40`,
			text:       "bank/read must finish in 40 ms instead of 80 ms",
			warn:       true,
			operations: "bank/read shop/pay",
		},
		"no longer once-only": {
			old:        `"once": true, `,
			text:       "no longer once-only",
			warn:       true,
			operations: "shop/pay",
		},
		"importance falls": {
			old:        `"vital"`,
			new:        `"high"`,
			text:       "shed earlier",
			warn:       true,
			operations: "shop/pay",
		},
		"slots": {
			old:        `"slots": 5, "conns": 6}]`,
			new:        `"slots": 4, "conns": 6}]`,
			text:       "target shop-1: slots changes from 5 to 4",
			targets:    "shop-1",
			operations: "shop/pay",
		},
		"leaving": {
			old:     `"regions"`,
			new:     `"leaving": ["bank-2"], "regions"`,
			text:    "target bank-2 leaves",
			targets: "bank-2",
		},
		"half of the slots": {
			old:        `"regions"`,
			new:        `"leaving": ["bank-2"], "regions"`,
			text:       "removes 5 of bank's 10 slots (50 %)",
			warn:       true,
			targets:    "bank-2",
			operations: "bank/audit bank/read shop/pay",
		},
		"last of a region": {
			old:        `"regions"`,
			new:        `"leaving": ["bank-2"], "regions"`,
			text:       "leaves bank without a target in region thies",
			warn:       true,
			targets:    "bank-2",
			operations: "bank/audit bank/read shop/pay",
		},
		"last target": {
			old:        `"regions"`,
			new:        `"leaving": ["shop-1"], "regions"`,
			text:       "leaves shop without a target that takes requests",
			warn:       true,
			targets:    "shop-1",
			operations: "shop/pay",
		},
		"objective": {
			old:  `"regions"`,
			new:  `"objectives": [{"service": "shop", "good": 999000, "latency": 90}], "regions"`,
			text: "shop gets the objective 999000 in a million within 90 ms",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(basicDocument, tt.old, tt.new, 1)
			if name == "service renamed" {
				text = strings.ReplaceAll(text, "bank/", "vault/")
			}
			for _, change := range changes(t, text) {
				if change.Warn == tt.warn && strings.Contains(change.Text, tt.text) &&
					strings.Join(change.Targets, " ") == tt.targets &&
					strings.Join(change.Operations, " ") == tt.operations {
					return
				}
			}
			t.Errorf("Changes = %+v, want %q", changes(t, text), tt.text)
		})
	}
}

// TestChangesOfNothing checks that the order of services, the layout and the
// author do not count as changes.
func TestChangesOfNothing(t *testing.T) {
	text := strings.Replace(basicDocument, `"author": "awa"`, `"author": "badou"`, 1)
	if got := changes(t, text); len(got) > 0 {
		t.Errorf("Changes = %+v, want none", got)
	}
	doc, err := Decode([]byte(basicDocument))
	if err != nil {
		t.Fatal(err)
	}
	slices.Reverse(doc.Services)
	if got := changes(t, string(Encode(doc))); len(got) > 0 {
		t.Errorf("Changes = %+v, want none", got)
	}
}

func changes(t *testing.T, text string) []Change {
	t.Helper()
	a, err := Parse([]byte(basicDocument))
	if err != nil {
		t.Fatal(Problems(err))
	}
	b, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(Problems(err))
	}
	return Changes(a, b)
}
