package leave

import (
	"fmt"
	"strings"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// A table accepts a valid mark of a process once.
func TestTable(t *testing.T) {
	mark := Mark{
		Host:        "a:1",
		Incarnation: 7,
		Age:         2 * clock.Second,
	}
	tests := map[string]struct {
		change func(m *Mark)
		now    clock.Milli
		want   bool
	}{
		"known mark": {
			change: func(*Mark) {},
		},
		"next process on the host": {
			change: func(m *Mark) { m.Incarnation = 8 },
			want:   true,
		},
		"negative age": {
			change: func(m *Mark) { m.Age = -1 },
		},
		"expired": {
			change: func(m *Mark) {
				m.Incarnation = 8
				m.Age = Expiry + 1
			},
		},
		"name too long": {
			change: func(m *Mark) { m.Host = strings.Repeat("a", 65) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := New(Config{})
			n.Add(0, mark, 2)
			m := mark
			tt.change(&m)
			if got := n.Add(0, m, 2); got != tt.want {
				t.Errorf("Add returned %v", got)
			}
		})
	}
}

// Each mark is passed on as often as asked, in messages of bounded size, and is
// removed once it expired.
func TestNewsEndsAndExpires(t *testing.T) {
	n := New(Config{})
	for i := range 2 * maxTableMarks {
		n.Add(0, Mark{
			Host: fmt.Sprint(i),
		}, 1)
	}
	sent := 0
	for n.HasUpdates() {
		list := n.Updates(clock.Second)
		sent += len(list)
		if len(list) > maxUpdates || list[0].Age != clock.Second {
			t.Fatalf("Updates returned %v", list)
		}
	}
	if sent != maxTableMarks {
		t.Errorf("%d marks passed on, want %d", sent, maxTableMarks)
	}
	n.Sweep(Expiry + clock.Second)
	if got := len(n.Marks(0)); got != 0 {
		t.Errorf("%d marks left after expiry, want none", got)
	}
}
