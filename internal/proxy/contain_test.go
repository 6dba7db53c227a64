package proxy

import (
	"net"
	"testing"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

// TestPanicInARecordCostsTheRecord plants a panic in the decoding of a record and
// checks that it is reported and that the other records are in force.
func TestPanicInARecordCostsTheRecord(t *testing.T) {
	const poison = platform.TargetPrefix + "poison"
	tests := map[string]struct {
		items   []watch.Item
		targets int
		version uint64
	}{
		"target": {
			items: []watch.Item{
				{
					Key: platform.TargetPrefix + "a",
				},
				{
					Key: poison,
				},
				{
					Key: platform.TargetPrefix + "b",
				},
				{
					Key:   platform.ConfigKey,
					Value: []byte("3"),
				},
			},
			targets: 2,
			version: 3,
		},
		"configuration": {
			items: []watch.Item{
				{
					Key:   platform.ConfigKey,
					Value: []byte("3"),
				},
				{
					Key: platform.ConfigKey,
				},
				{
					Key: platform.TargetPrefix + "a",
				},
			},
			targets: 1,
			version: 3,
		},
	}
	for name, tt := range tests {
		for kind, apply := range map[string]func(*viewTracker, []watch.Item){
			"list":    func(vt *viewTracker, items []watch.Item) { vt.applyList(1, items, false) },
			"changes": func(vt *viewTracker, items []watch.Item) { vt.applyChanges(1, items) },
		} {
			t.Run(name+" in a "+kind, func(t *testing.T) {
				reported := 0
				vt := newViewTracker(zap.NewNop(), func(*model.View) {})
				vt.onPanic = func(*rescue.Error) { reported++ }
				vt.decodeTarget = func(key string, _ []byte) (model.Target, error) {
					if key == poison {
						panic("planted")
					}
					return model.Target{
						ID: key,
					}, nil
				}
				vt.decodeConfig = func(value []byte) (*model.Config, error) {
					return &model.Config{
						Version: uint64(value[0] - '0'),
					}, nil
				}
				apply(vt, tt.items)
				v := vt.view.Load()
				if len(v.Fleet.Targets) != tt.targets || v.Config == nil || v.Config.Version != tt.version || reported != 1 {
					t.Fatalf("%d targets, configuration %+v, %d reports; want %d, version %d, 1", len(v.Fleet.Targets), v.Config, reported, tt.targets, tt.version)
				}
			})
		}
	}
}

// TestFailedStartClosesItsListeners checks that a daemon that can't listen on one
// address does not keep the others.
func TestFailedStartClosesItsListeners(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	set := testSettings()
	set.Ready = freeAddr(t)
	set.Inbound = freeAddr(t)
	set.Metrics = float64(taken.Addr().(*net.TCPAddr).Port + 1)
	set.Outbound = taken.Addr().String()
	d, err := New(set, clock.System(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err == nil {
		t.Fatal("the daemon started on an address in use")
	}
	for _, addr := range []string{set.Ready, set.Inbound} {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			t.Errorf("the failed daemon still listens on %s", addr)
			continue
		}
		_ = l.Close()
	}
}

// freeAddr returns an address on which nobody listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
