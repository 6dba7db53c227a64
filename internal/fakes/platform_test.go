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
		"up shows the newest": {
			mode: Up,
			want: "third",
		},
		"down gives no answer": {
			mode: Down,
			kind: source.Unreachable,
		},
		"hanging passes the deadline": {
			mode: Hang,
			kind: source.Timeout,
		},
		"stale shows what was newest then": {
			mode: Stale,
			want: "second",
		},
		"replay shows the one before": {
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
			t.Errorf("Next() = %q, %v, want %q", v.Data, err, want)
		}
		last = v
	}
	if v, err := c.Watch(t.Context(), last.ETag); err != nil || v.ETag != last.ETag || v.Data != nil {
		t.Errorf("Next() without news = %+v, %v, want number %s alone", v, err, last.ETag)
	}
	if got := s.Reads(); got.Total != 4 || got.Watches != 4 {
		t.Errorf("Reads() = %+v, want four watches", got)
	}
	if status, _, _ := newCaller(t, s.Addr()).do("PUT", "value", nil); status != 405 {
		t.Errorf("writing = %d, want 405", status)
	}
}

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
