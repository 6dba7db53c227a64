package model

import (
	"fmt"
	"testing"
)

// Guards against a record of another writer that is taken for the target of a host,
// because it has the target's address (RECOVER).
func TestTargetAt(t *testing.T) {
	const addr = "10.0.0.1:80"
	target := func(id, service, addr string, born uint64) Target {
		return Target{
			ID:        id,
			Service:   service,
			Addr:      addr,
			StartTime: born,
		}
	}
	own := target("own", "stock", addr, 5)
	tests := map[string]struct {
		targets []Target
		want    string
	}{
		"none": {
			targets: []Target{target("far", "stock", "10.0.0.2:80", 9)},
		},
		"alone": {
			targets: []Target{own},
			want:    "own",
		},
		"started again under another id": {
			targets: []Target{own, target("next", "stock", addr, 6)},
			want:    "next",
		},
		"a later one of a service named nowhere": {
			targets: []Target{own, target("stray", "nowhere", addr, 9)},
			want:    "own",
		},
		"a later one of another service": {
			targets: []Target{own, target("stray", "shop", addr, 9)},
			want:    "own",
		},
		"only one of a service named nowhere": {
			targets: []Target{target("stray", "nowhere", addr, 9)},
		},
		"replaced by one of another service": {
			targets: []Target{target("next", "shop", addr, 9), target("stray", "nowhere", addr, 10)},
			want:    "next",
		},
		"two that started at once": {
			targets: []Target{target("b", "stock", addr, 5), target("a", "stock", addr, 5)},
			want:    "a",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := viewOf(tt.targets).TargetAt(addr, "stock")
			if got.ID != tt.want || ok != (tt.want != "") {
				t.Errorf("got %q, %t, want %q", got.ID, ok, tt.want)
			}
		})
	}
}

// Guards against many records of another writer that are counted as daemons, so that
// each daemon reads the store too rarely and repeats too little (CONFIG).
func TestStrayRecordsAreNoHosts(t *testing.T) {
	targets := make([]Target, 0, 104)
	for i := range 4 {
		targets = append(targets, Target{
			ID:      fmt.Sprintf("t-%d", i),
			Service: []string{"stock", "shop"}[i%2],
			Addr:    fmt.Sprintf("10.0.0.%d:80", i/2),
		})
	}
	for i := range 100 {
		targets = append(targets, Target{
			ID:      fmt.Sprintf("stray-%d", i),
			Service: "nowhere",
			Addr:    fmt.Sprintf("10.0.1.%d:80", i),
		})
	}
	if got := viewOf(targets).CountHosts(); got != 2 {
		t.Errorf("got %d hosts, want 2", got)
	}
}

// viewOf returns a view with the targets and a configuration that names two services.
func viewOf(targets []Target) *View {
	return &View{
		Config: &Config{
			Services: map[string]Service{
				"stock": {
					Name: "stock",
				},
				"shop": {
					Name: "shop",
				},
			},
		},
		Fleet: Fleet{}.WithList(0, targets, false),
	}
}
