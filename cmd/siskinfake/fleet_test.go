package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	sample "siskinswitch.example/siskin/examples"
	"siskinswitch.example/siskin/internal/proto/config"
)

// TestFleet checks that no address of a local fleet is assigned twice, even when
// the document uses the ports after those of a daemon, that the written settings
// can be read, and that a host that is not loopback is refused.
func TestFleet(t *testing.T) {
	doc, err := config.Decode(sample.Armor)
	if err != nil {
		t.Fatal(err)
	}
	first := &doc.Services[0].Instances[0]
	doc.Services[0].Instances[1].Inbound = first.Operator + 1
	first.Outbound = platformPort
	l, err := newLocalFleet(doc, defaultWorkTime)
	if err != nil {
		t.Fatal(err)
	}
	used := usedAddrs(doc)
	for _, addr := range append(l.targetAddrs(), l.fakes.Store.Addr, l.fakes.Roster.Addr) {
		if used[addr] {
			t.Errorf("%s is assigned twice", addr)
		}
		used[addr] = true
	}
	dir := filepath.Join(t.TempDir(), "fleet")
	if err := l.write(dir, sample.Armor); err != nil {
		t.Fatal(err)
	}
	s, err := readSettings(filepath.Join(dir, fakesFile))
	if err != nil || len(s.Targets) != len(l.daemons) {
		t.Errorf("%d targets read for %d daemons: %v", len(s.Targets), len(l.daemons), err)
	}
	if !s.Targets[0].serves("catalogue") || s.Targets[0].serves("cat") || s.Targets[0].speedOrDefault() != 1 {
		t.Errorf("first target read: %+v", s.Targets[0])
	}
	first.Host = "10.0.0.1"
	if _, err := newLocalFleet(doc, defaultWorkTime); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("a host that is not loopback: %v", err)
	}
}

func (l *localFleet) targetAddrs() []string {
	addrs := make([]string, 0, len(l.fakes.Targets)+2)
	for _, t := range l.fakes.Targets {
		addrs = append(addrs, t.Addr)
	}
	return addrs
}

// TestSpeedsInSettings checks which speeds of a target a settings file may have.
func TestSpeedsInSettings(t *testing.T) {
	tests := map[string]struct {
		field string
		want  string
	}{
		"left out": {},
		"slow": {
			field: `, "speed": 0.1`,
		},
		"zero": {
			field: `, "speed": 0`,
			want:  "targets[0].speed is 0; it must be above 0",
		},
		"negative": {
			field: `, "speed": -1`,
			want:  "targets[0].speed is -1; it must be above 0",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fakes.json")
			if err := os.WriteFile(path, []byte(`{"targets": [{"name": "a"`+tt.field+`}]}`), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := readSettings(path)
			if got := fmt.Sprint(err); tt.want == "" && err != nil || !strings.Contains(got, tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}
