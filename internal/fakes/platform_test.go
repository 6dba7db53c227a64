package fakes

import (
	"errors"
	"testing"

	"siskinswitch.example/siskin/internal/trans/source"
	"siskinswitch.example/siskin/pkg/clock"
)

func newStore(t *testing.T, cfg StoreConfig) *Store {
	t.Helper()
	s, err := NewStore(cfg)
	if err != nil {
		t.Fatalf("NewStore() = %v", err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("Close() = %v", err)
		}
	})
	return s
}

func TestStoreModes(t *testing.T) {
	tests := map[string]struct {
		mode Mode
		want string
		kind source.Kind
	}{
		"up returns the newest value": {
			mode: Up,
			want: "third",
		},
		"down closes the connection": {
			mode: Down,
			kind: source.Unreachable,
		},
		"hanging exceeds the timeout": {
			mode: Hang,
			kind: source.Timeout,
		},
		"stale returns the value from when the mode was set": {
			mode: Stale,
			want: "second",
		},
		"replay returns the previous value": {
			mode: Replay,
			want: "second",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStore(t, StoreConfig{})
			s.Publish([]byte("first"))
			s.Publish([]byte("second"))
			s.SetMode(tt.mode)
			s.Publish([]byte("third"))
			c := source.New(source.Config{
				StoreAddr: s.Addr(),
				Timeout:   100 * clock.Millisecond,
			})
			v, err := c.Read(t.Context())
			var e *source.Error
			if errors.As(err, &e) && e.Kind != tt.kind || (err == nil) != (tt.kind == 0) {
				t.Fatalf("Read() = %v, want kind %d", err, tt.kind)
			}
			if string(v.Data) != tt.want {
				t.Errorf("Read() = %q, want %q", v.Data, tt.want)
			}
		})
	}
}

// TestStoreLimitsReads checks that reads beyond the rate are rejected until the
// next second begins.
func TestStoreLimitsReads(t *testing.T) {
	fake := clock.NewFake(clock.Second)
	s := newStore(t, StoreConfig{
		Rate:  3,
		Clock: fake.Clock(),
	})
	s.Publish([]byte("v"))
	c := source.New(source.Config{
		StoreAddr: s.Addr(),
	})
	rejected := 0
	for range 5 {
		if _, err := c.Read(t.Context()); err != nil {
			rejected++
		}
	}
	fake.Advance(clock.Second)
	if _, err := c.Read(t.Context()); err != nil {
		t.Errorf("Read() in the next second = %v", err)
	}
	want := Reads{
		Total:    6,
		Rejected: 2,
		Peak:     5,
	}
	if got := s.Reads(); got != want || rejected != 2 {
		t.Errorf("Reads() = %+v with %d errors, want %+v with 2", got, rejected, want)
	}
}

// TestNextFollowsStore checks that a watch returns each new value, and only the
// number of the last one when nothing changes during its wait.
func TestNextFollowsStore(t *testing.T) {
	s := newStore(t, StoreConfig{})
	c := source.New(source.Config{
		StoreAddr: s.Addr(),
		WatchWait: 20 * clock.Millisecond,
	})
	last := source.Value{}
	for _, want := range []string{"one", "two", "three"} {
		s.Publish([]byte(want))
		v, err := c.Watch(t.Context(), last.ETag)
		if err != nil || string(v.Data) != want {
			t.Errorf("Watch() = %q, %v, want %q", v.Data, err, want)
		}
		last = v
	}
	if v, err := c.Watch(t.Context(), last.ETag); err != nil || v.ETag != last.ETag || v.Data != nil {
		t.Errorf("Watch() without a change = %+v, %v, want number %s without data", v, err, last.ETag)
	}
	if got := s.Reads(); got.Total != 4 || got.Watches != 4 {
		t.Errorf("Reads() = %+v, want four watches", got)
	}
	if status, _, _ := newCaller(t, s.Addr()).do("PUT", "value", nil); status != 405 {
		t.Errorf("PUT = %d, want 405", status)
	}
}

// TestRosterLags checks that readers see a change of the list only after the lag.
func TestRosterLags(t *testing.T) {
	fake := clock.NewFake(0)
	r, err := NewRoster(RosterConfig{
		Lag:   5 * clock.Second,
		Clock: fake.Clock(),
	})
	if err != nil {
		t.Fatalf("NewRoster() = %v", err)
	}
	defer func() { _ = r.Close() }()
	c := source.New(source.Config{
		RosterAddr: r.Addr(),
	})
	r.Set([]Host{
		{
			Name:    "ledger-1",
			Addr:    "127.0.0.1",
			Leaving: true,
		},
	})
	for _, want := range []int{0, 1} {
		hosts, err := c.Hosts(t.Context())
		if err != nil || len(hosts) != want {
			t.Errorf("Hosts() = %v, %v, want %d entries", hosts, err, want)
		}
		fake.Advance(5 * clock.Second)
	}
}
