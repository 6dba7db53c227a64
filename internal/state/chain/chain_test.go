package chain

import (
	"errors"
	"strconv"
	"sync"
	"testing"

	"siskinswitch.example/siskin/internal/state/rules"
)

func add(t *testing.T, table *Table, units int) *Request {
	t.Helper()
	r, err := table.Add(Context{
		Root:       "root",
		Importance: rules.High,
		Depth:      2,
	}, units)
	if err != nil {
		t.Fatalf("Add: %v", err)
	}
	return r
}

// TestTokens checks that a request is found by its own token while it is in
// progress, and by no other token.
func TestTokens(t *testing.T) {
	table := NewTable()
	a, b := add(t, table, 0), add(t, table, 0)
	if a.Token == b.Token || len(a.Token) != 2*tokenBytes {
		t.Errorf("tokens %q and %q", a.Token, b.Token)
	}
	if got, ok := table.Find(a.Token); !ok || got != a || got.Depth != 2 || got.Importance != rules.High {
		t.Errorf("Find = %+v, %t, want the request", got, ok)
	}
	for _, token := range []string{"", "00", b.Token[:1]} {
		if _, ok := table.Find(token); ok {
			t.Errorf("Find(%q) found a request", token)
		}
	}
	table.End(a)
	if _, ok := table.Find(a.Token); ok || table.Len() != 1 {
		t.Errorf("found after its end: %t, %d requests are left", ok, table.Len())
	}
}

// TestUnits checks how many retry units a request has left after it lent some.
func TestUnits(t *testing.T) {
	tests := map[string]struct {
		units int
		use   func(r *Request)
		left  int
	}{
		"unused": {
			units: 5,
			use:   func(*Request) {},
			left:  5,
		},
		"all lent units returned": {
			units: 5,
			use: func(r *Request) {
				n := r.Lend()
				r.Return(n, n)
			},
			left: 5,
		},
		"half lent and lost": {
			units: 5,
			use:   func(r *Request) { r.Lend() },
			left:  2,
		},
		"more returned than lent": {
			units: 5,
			use:   func(r *Request) { r.Return(r.Lend(), 100) },
			left:  5,
		},
		"negative return": {
			units: 5,
			use:   func(r *Request) { r.Return(r.Lend(), -100) },
			left:  2,
		},
		"lent until nothing is left": {
			units: 5,
			use: func(r *Request) {
				for range 10 {
					r.Lend()
				}
			},
		},
		"negative units": {
			units: -3,
			use:   func(*Request) {},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			r := add(t, table, tt.units)
			tt.use(r)
			if got := table.End(r); got != tt.left {
				t.Errorf("%d units are left, want %d", got, tt.left)
			}
		})
	}
}

// TestUnitsAfterEnd checks that a request that has ended lends no units and
// counts units that are returned late as spent.
func TestUnitsAfterEnd(t *testing.T) {
	table := NewTable()
	r := add(t, table, 4)
	share := r.Lend()
	if got := table.End(r); got != 2 {
		t.Errorf("%d units are left, want 2", got)
	}
	r.Return(share, share)
	if got := table.End(r); got != 2 {
		t.Errorf("%d units are left after a late return, want 2", got)
	}
	if got := r.Lend(); got != 0 {
		t.Errorf("lent %d units after the end", got)
	}
}

// TestCalls checks that each non-idempotent call has one record, and that a
// request cannot have more records than the bound.
func TestCalls(t *testing.T) {
	r := add(t, NewTable(), 0)
	if r.HasCall("key") {
		t.Error("a call that was never made has a record")
	}
	first, err := r.Call("key")
	again, _ := r.Call("key")
	if err != nil || first != again || !r.HasCall("key") {
		t.Errorf("records %p and %p, error %v, want the same record", first, again, err)
	}
	for i := range maxNonIdempotentCalls - 1 {
		if _, err := r.Call(strconv.Itoa(i)); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	if _, err := r.Call("one more"); !errors.Is(err, ErrTooManyCalls) {
		t.Errorf("one call too many: %v, want ErrTooManyCalls", err)
	}
	if got, err := r.Call("key"); err != nil || got != first {
		t.Errorf("a known call of a full request: %p, %v", got, err)
	}
}

func TestCancel(t *testing.T) {
	r := add(t, NewTable(), 0)
	if r.IsCancelled() {
		t.Error("a new request is cancelled")
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(r.Cancel)
	}
	wg.Wait()
	<-r.Cancelled()
	if !r.IsCancelled() {
		t.Error("not cancelled after Cancel")
	}
}
