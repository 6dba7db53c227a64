package ctl

import (
	"strings"
	"testing"

	sample "siskinswitch.example/siskin/examples"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

// longRegister returns a register with one row more than allowed.
func longRegister() string {
	head, row, _ := strings.Cut(string(sample.RegisterXaalis), "\n")
	row, _, _ = strings.Cut(row, "\n")
	return head + "\n" + strings.Repeat(row+"\n", maxRows+1)
}

// TestPartialKeepsInstances checks that the instance of a refused row stays in
// the draft of a partial import. Otherwise a typing error in the register
// would remove a running instance.
func TestPartialKeepsInstances(t *testing.T) {
	_, out, _ := run(t, "import --partial --base good.json faulty.csv")
	set, err := config.Parse([]byte(out))
	if err != nil {
		t.Fatal(config.Problems(err))
	}
	for _, service := range set.Services() {
		if n := len(set.Targets(service)); n < 4 {
			t.Errorf("%s has %d targets, the base had 4", service, n)
		}
	}
}

// FuzzRegister checks that each row is either accepted or refused and that
// accepted rows add no invalid instance. An instance of the base that stays
// because of a refused row may conflict with accepted rows; the report lists
// the conflict.
func FuzzRegister(f *testing.F) {
	f.Add(sample.RegisterXaalis)
	f.Add(sample.RegisterFaulty)
	f.Add(sample.RegisterArmor)
	f.Add([]byte("instance;service;owner;region;centre;host\na;b;c;d;e;::1\n\"x"))
	base, err := config.Decode(sample.Xaalis)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		export := &register{
			onProgress: func(int64) {},
		}
		if export.read(data) != nil {
			return
		}
		rows := len(export.rows) + len(export.refused)
		m := &merger{
			base:    base,
			rows:    export.rows,
			refused: export.refused,
			kept:    make(map[string]bool),
		}
		draft := m.merge()
		if got := len(m.rows) + len(m.refused); got != rows {
			t.Errorf("%d rows became %d", rows, got)
		}
		for _, p := range rules.Check(draft) {
			if len(m.refused) == 0 && strings.Contains(p.Path, "instances[") {
				t.Errorf("the draft has a bad instance: %v", p)
			}
		}
	})
}

// TestMissingNumberIsNamed checks that a row of a new service is refused for the
// number that neither the register nor the base has, and for the value of one
// that it has.
func TestMissingNumberIsNamed(t *testing.T) {
	const head = "instance;service;owner;region;centre;host;inbound;outbound;control;operator;slots;connections\n"
	tests := map[string]struct {
		row  string
		want string
	}{
		"missing": {
			row:  "new-1;new;own;dakar;dakar-1;10.0.0.9;1;2;3;4;;9\n",
			want: "slots is given neither by the register nor by the base",
		},
		"out of range": {
			row:  "new-1;new;own;dakar;dakar-1;10.0.0.9;1;2;3;4;10000000;9\n",
			want: "slots: 10000000 is outside",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			export := &register{
				onProgress: func(int64) {},
			}
			if err := export.read([]byte(head + tt.row)); err != nil {
				t.Fatal(err)
			}
			m := &merger{
				base:    rules.Document{},
				rows:    export.rows,
				refused: export.refused,
				kept:    make(map[string]bool),
			}
			m.merge()
			if len(m.refused) != 1 || !strings.Contains(m.refused[0].Reason, tt.want) {
				t.Errorf("refused %+v, want one for %q", m.refused, tt.want)
			}
		})
	}
}
