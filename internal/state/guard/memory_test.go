package guard

import (
	"runtime"
	"strconv"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// requestsPerWindow is the number of non-idempotent requests that a daemon
// remembers at the planned load: a fifth of 220 calls a second over a window of
// ten minutes.
const requestsPerWindow = 26_400

func newLoaded(b *testing.B, bodyBytes int) *Table {
	b.Helper()
	g := New(Config{
		Window:      10 * clock.Minute,
		Bytes:       64 << 20,
		Incarnation: ownIncarnation,
	})
	for i := range requestsPerWindow {
		id := "0123456789abcdef-" + strconv.Itoa(i)
		if v := g.Begin(0, newTicket(id, 1), 0); v.Status != Fresh {
			b.Fatalf("Begin = %+v", v)
		}
		g.Start(id)
		g.Finish(0, id, answer(string(make([]byte, bodyBytes))))
	}
	return g
}

// BenchmarkMemory reports the memory that each entry takes in a table that
// holds the requests of a whole window.
func BenchmarkMemory(b *testing.B) {
	for _, bodyBytes := range []int{0, 512} {
		b.Run(strconv.Itoa(bodyBytes), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				g := newLoaded(b, bodyBytes)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/requestsPerWindow, "B/entry")
				runtime.KeepAlive(g)
			}
		})
	}
}

// BenchmarkHandover exports and imports a table that holds the requests of a
// whole window.
func BenchmarkHandover(b *testing.B) {
	g := newLoaded(b, 512)
	g.Close()
	for b.Loop() {
		parts, err := g.Export(0, 256<<10)
		if err != nil {
			b.Fatal(err)
		}
		s := NewHandoverStore(HandoverStoreConfig{Bytes: 64 << 20})
		for _, h := range parts {
			if err := s.Import(0, h); err != nil {
				b.Fatal(err)
			}
		}
	}
}
