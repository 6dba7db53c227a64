package acct

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func entry(name string, keys ...string) Entry {
	return Entry{
		Account: Account{
			Name: name,
		},
		Keys: keys,
	}
}

// Guards against a request that runs for an account whose key the caller does not
// hold exactly (UNASKED, ROUTE).
func TestByKey(t *testing.T) {
	a, err := New([]Entry{entry("hut", "k1", "k2"), entry("guide", "K1"), entry("closed")})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		key  string
		want string
	}{
		"first key": {
			key:  "k1",
			want: "hut",
		},
		"second key": {
			key:  "k2",
			want: "hut",
		},
		"key of another account in another case": {
			key:  "K1",
			want: "guide",
		},
		"key in a case that nobody holds": {
			key: "K2",
		},
		"key with a blank": {
			key: "k1 ",
		},
		"beginning of a key": {
			key: "k",
		},
		"no key": {},
		"long key": {
			key: strings.Repeat("k", 8<<10),
		},
		"name of an account": {
			key: "closed",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := a.ByKey(tt.key)
			if ok != (tt.want != "") || ok && got.Name != tt.want {
				t.Errorf("got %+v and %t, want %q", got, ok, tt.want)
			}
		})
	}
}

// Guards against an account table that takes a key for two accounts, and against
// keys in error texts, which are logged.
func TestNewRefuses(t *testing.T) {
	tests := map[string]struct {
		entries []Entry
		want    Kind
	}{
		"no name": {
			entries: []Entry{entry("", "secret")},
			want:    Unnamed,
		},
		"two accounts with one name": {
			entries: []Entry{entry("a", "secret"), entry("a", "other")},
			want:    DuplicateName,
		},
		"empty key": {
			entries: []Entry{entry("a", "secret", "")},
			want:    EmptyKey,
		},
		"key of two accounts": {
			entries: []Entry{entry("a", "secret"), entry("b", "secret")},
			want:    DuplicateKey,
		},
		"key twice in one account": {
			entries: []Entry{entry("a", "secret", "secret")},
			want:    DuplicateKey,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := New(tt.entries)
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.want {
				t.Fatalf("error = %v, want kind %d", err, tt.want)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("the error has a key: %v", err)
			}
		})
	}
}

// Guards against a configuration without accounts that asks for keys, and one with
// an empty list that asks for none.
func TestInForce(t *testing.T) {
	var none Accounts
	if none.InForce() {
		t.Error("the zero value is in force")
	}
	empty, err := New(nil)
	if err != nil || !empty.InForce() {
		t.Errorf("an empty list is not in force: %v", err)
	}
}

// tableOf returns a table of n accounts with one key each.
func tableOf(b *testing.B, n int) Accounts {
	entries := make([]Entry, 0, n)
	for i := range n {
		entries = append(entries, entry(fmt.Sprint("a", i), fmt.Sprint("key-", i)))
	}
	a, err := New(entries)
	if err != nil {
		b.Fatal(err)
	}
	return a
}

func BenchmarkByKey(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		a := tableOf(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := a.ByKey("key-7"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// Guards against a look-up that grows with the number of keys, or allocates.
func TestByKeyCost(t *testing.T) {
	if testing.Short() {
		t.Skip("measures time")
	}
	cost := func(n int) (nanos, allocs int64) {
		r := testing.Benchmark(func(b *testing.B) {
			a := tableOf(b, n)
			b.ReportAllocs()
			for b.Loop() {
				a.ByKey("key-7")
			}
		})
		return r.NsPerOp(), r.AllocsPerOp()
	}
	few, allocs := cost(10)
	many, _ := cost(10_000)
	if allocs != 0 {
		t.Errorf("%d allocations a look-up, want 0", allocs)
	}
	if many > 4*max(few, 1) {
		t.Errorf("%d ns among 10,000 keys, %d ns among 10: want a ratio of 4 at most", many, few)
	}
}
