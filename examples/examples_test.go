package sample

import (
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/proto/config"
)

// TestDocuments checks that each example is valid, is formatted as the tools
// write documents, and has the documented size and caller tokens.
func TestDocuments(t *testing.T) {
	tests := map[string]struct {
		data      []byte
		services  int
		instances int
	}{
		"xaalis": {
			data:      Xaalis,
			services:  4,
			instances: 16,
		},
		"armor": {
			data:      Armor,
			services:  4,
			instances: 16,
		},
		"large": {
			data:      Large,
			services:  20,
			instances: 780,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			set, err := config.Parse(tt.data)
			if err != nil {
				t.Fatal(config.Problems(err))
			}
			if string(config.Encode(set.Document())) != string(tt.data) {
				t.Error("the file is not formatted as config.Encode writes it")
			}
			for _, caller := range set.Document().Callers {
				if caller.Secret != config.Digest([]byte("demo-"+caller.Name)) {
					t.Errorf("the token of %s is not the documented one", caller.Name)
				}
			}
			instances := 0
			for _, service := range set.Services() {
				instances += len(set.Targets(service))
			}
			if len(set.Services()) != tt.services || instances != tt.instances {
				t.Errorf("%d services and %d instances, want %d and %d",
					len(set.Services()), instances, tt.services, tt.instances)
			}
		})
	}
}

// TestDeltaOfLarge checks that a change of one instance of a large document,
// sealed as the next version, has a delta of at most a few hundred bytes.
func TestDeltaOfLarge(t *testing.T) {
	const limit = 500
	doc, err := config.Decode(Large)
	if err != nil {
		t.Fatal(err)
	}
	doc = doc.WithVersion(2, config.Digest(Large), "awa.diop", "Give service10-7 half of its slots until the morning")
	doc.Services[9].Instances[6].Slots /= 2
	delta, err := config.Diff(Large, config.Encode(doc))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := config.Diff(nil, Large)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("delta %d bytes, whole document deflated %d bytes", len(delta), len(whole))
	if len(delta) > limit {
		t.Errorf("the delta has %d bytes, more than %d", len(delta), limit)
	}
	if got, err := config.Apply(Large, delta); err != nil || !strings.Contains(string(got), "until the morning") {
		t.Errorf("Apply: %d bytes, %v", len(got), err)
	}
}
