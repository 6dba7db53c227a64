package fleet

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/pkg/clock"
)

func reportSpread(b *testing.B, times []clock.Milli, all int, name string) {
	slices.Sort(times)
	b.ReportMetric(quantile(times, 50), name+"-p50-ms")
	b.ReportMetric(quantile(times, 99), name+"-p99-ms")
	b.ReportMetric(quantile(times, 100), name+"-max-ms")
	b.ReportMetric(float64(all-len(times)), name+"-missing")
}

// liveHeap returns the bytes that are in use, the whole fleet's.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkCalm(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.1} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("loss=%g/hosts=%d", loss, n), func(b *testing.B) {
				for range b.N {
					t := newTrial(n, loss, 4096)
					t.Run(clock.Minute)
					t.reset()
					heap := liveHeap()
					before := time.Now()
					t.Run(clock.Minute)
					cpu := time.Since(before)
					mean, top := t.perHost()
					reads, most := t.reads()
					b.ReportMetric(float64(heap)/float64(n), "heap-B/host")
					b.ReportMetric(mean, "B/s/host")
					b.ReportMetric(top, "B/s/top")
					b.ReportMetric(float64(t.Net.Messages)/60/float64(n), "msg/s/host")
					b.ReportMetric(float64(t.Net.CrossRegion)/60, "link-B/s")
					b.ReportMetric(reads, "reads/s")
					b.ReportMetric(float64(most), "reads-top")
					b.ReportMetric(float64(t.falseDead), "false-dead")
					b.ReportMetric(cpu.Seconds()*1e6/60/float64(n), "cpu-us/s/host")
				}
			})
		}
	}
}

func BenchmarkChange(b *testing.B) {
	const rounds = 10
	for _, loss := range []float64{0, 0.01, 0.1} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("loss=%g/hosts=%d", loss, n), func(b *testing.B) {
				for range b.N {
					t := newTrial(n, loss, 65536)
					force := make([]clock.Milli, 0, rounds*n)
					marks := make([]clock.Milli, 0, rounds*n)
					for i := range rounds {
						force = append(force, t.adoption(t.Source.Publish(65536))...)
						t.Run(clock.Second)
						t.marked = nil
						left := t.Net.Now()
						t.Hosts[i].Agent.Leave(left)
						t.Run(5 * clock.Second)
						for _, at := range t.marked {
							marks = append(marks, at-left)
						}
					}
					reportSpread(b, force, rounds*n, "force")
					reportSpread(b, marks, rounds*n, "leave")
				}
			})
		}
	}
}

// BenchmarkFaults measures how long all views take to follow what happens.
func BenchmarkFaults(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.1} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("loss=%g/hosts=%d", loss, n), func(b *testing.B) {
				for range b.N {
					benchFaults(b, newTrial(n, loss, 4096))
				}
			})
		}
	}
}

func benchFaults(b *testing.B, t *trial) {
	n := len(t.Hosts)
	report := func(name string, done func() bool) {
		start := t.Net.Now()
		for !done() && t.Net.Now()-start < clock.Minute {
			t.Run(200 * clock.Millisecond)
		}
		b.ReportMetric(float64(t.Net.Now()-start), name+"-ms")
	}
	t.Run(30 * clock.Second)
	t.reset()
	t.Stop(1)
	report("dead", func() bool { return t.believe(1, member.Dead) == n-1 })
	t.Start(1)
	report("replaced", func() bool { return t.believe(1, member.Alive) == n })
	t.Pause(1)
	t.Run(30 * clock.Second)
	t.Resume(1)
	report("woken", func() bool { return t.believe(1, member.Alive) == n })
	out := n / 5
	for i := range out {
		t.Stop(i)
	}
	report("centre-lost", func() bool { return t.all(func(a *agent.Agent) bool { return t.lost(a, "") == out }) })
	for i := range out {
		t.Start(i)
	}
	report("centre-back", func() bool {
		return t.all(func(a *agent.Agent) bool { return t.lost(a, "") == 0 && t.knowsAll(a) })
	})
	t.reset()
	t.Net.Blocked = func(from, to int) bool { return t.region(from) != t.region(to) }
	t.Run(3 * clock.Minute)
	t.Net.Blocked = nil
	report("split-healed", func() bool { return t.all(func(a *agent.Agent) bool { return t.lost(a, "") == 0 }) })
	b.ReportMetric(float64(t.falseDead), "split-false-dead")
}

func BenchmarkRestart(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				t := newTrial(n, 0, 4096)
				t.reset()
				t.StartAll()
				top, ready, whole := 0.0, -1, -1
				for second := 1; second <= 40; second++ {
					before := sum(t.Net.Received)
					t.Run(clock.Second)
					top = max(top, float64(sum(t.Net.Received)-before)/float64(n))
					if ready < 0 && t.all(func(a *agent.Agent) bool { return a.IsReady() }) {
						ready = second
					}
					if whole < 0 && t.all(t.knowsAll) {
						whole = second
					}
				}
				b.ReportMetric(float64(ready), "ready-s")
				b.ReportMetric(float64(whole), "views-whole-s")
				b.ReportMetric(float64(sum(t.Net.Received))/float64(n)/40, "mean-received-B/s/host")
				reads, most := t.reads()
				b.ReportMetric(top, "peak-received-B/s/host")
				b.ReportMetric(reads, "reads/s")
				b.ReportMetric(float64(most), "reads-top")
				b.ReportMetric(float64(t.falseDead), "false-dead")
			}
		})
	}
}

func BenchmarkForms(b *testing.B) {
	for _, n := range []int{60, 240, 780} {
		forms := map[string]Topology{
			"mesh":   Mesh(n),
			"gossip": Gossip(n, rand.New(rand.NewPCG(7, 7))),
			"tree":   Tree(FiveCentres(n)),
		}
		for _, name := range []string{"mesh", "gossip", "tree"} {
			for _, loss := range []float64{0, 0.01, 0.1} {
				b.Run(fmt.Sprintf("form=%s/loss=%g/hosts=%d", name, loss, n), func(b *testing.B) {
					for range b.N {
						benchForm(b, forms[name], n, loss)
					}
				})
			}
		}
	}
}

func benchForm(b *testing.B, f Topology, n int, loss float64) {
	places := make([]Place, 0, n)
	for _, c := range FiveCentres(n) {
		places = append(places, slices.Repeat([]Place{c.Place}, c.Hosts)...)
	}
	t := NewTopologyRun(NewNet(7, places), f)
	t.Net.Loss = loss
	t.Run(2 * clock.Second)
	t.Net.Reset()
	t.Run(5 * clock.Second)
	mean, top := 0.0, 0.0
	for i := range places {
		rate := float64(t.Net.Sent[i]+t.Net.Received[i]) / 5
		mean += rate / float64(n)
		top = max(top, rate)
	}
	b.ReportMetric(mean, "B/s/host")
	b.ReportMetric(top, "B/s/top")
	b.ReportMetric(float64(t.Net.CrossRegion)/5, "link-B/s")
	t.Publish(FiveCentres(n))
	t.Run(20 * clock.Second)
	reportSpread(b, t.AdoptionTimes, n, "force")
}

// BenchmarkDay measures 1,200 changes a day: one each 72 s.
func BenchmarkDay(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				t := newTrial(n, 0, 65536)
				t.reset()
				const changes = 10
				for range changes {
					t.Source.Publish(65536)
					t.Run(72 * clock.Second)
				}
				mean, top := t.perHost()
				reads, most := t.reads()
				b.ReportMetric(mean, "B/s/host")
				b.ReportMetric(top, "B/s/top")
				b.ReportMetric(float64(t.Net.CrossRegion)/(72*changes), "link-B/s")
				b.ReportMetric(reads, "reads/s")
				b.ReportMetric(float64(most), "reads-top")
			}
		})
	}
}

// BenchmarkWhole measures a change that no delta shortens. The network of the
// harness has no limit of bandwidth.
func BenchmarkWhole(b *testing.B) {
	const size = 1_000_000
	for _, n := range sizes {
		for _, near := range []bool{false, true} {
			b.Run(fmt.Sprintf("near=%t/hosts=%d", near, n), func(b *testing.B) {
				for range b.N {
					t := newTrial(n, 0.01, size)
					if near {
						t.Source.Reachable = func(i int) bool { return t.region(i) == t.region(0) }
						t.Run(clock.Second)
					}
					t.reset()
					reportSpread(b, t.adoption(t.Source.Rewrite(size)), n, "force")
					mean, top := 0.0, int64(0)
					for i := range t.Hosts {
						mean += float64(t.Net.Received[i]) / float64(n) / size
						top = max(top, t.Net.Sent[i])
					}
					b.ReportMetric(mean, "values-received/host")
					b.ReportMetric(float64(top)/size, "values-sent/top")
					b.ReportMetric(float64(t.Net.CrossRegion)/size, "values-over-link")
				}
			})
		}
	}
}

// BenchmarkSnapshot measures what an agent makes for publication, once a second
// or when something changed.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			t := newTrial(n, 0, 4096)
			b.ReportAllocs()
			for b.Loop() {
				t.Hosts[0].Agent.Snapshot(t.Net.Now())
			}
		})
	}
}
