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

// reportTimes reports percentiles of the times that hosts took to learn of an
// event, and the number of hosts that did not learn of it.
func reportTimes(b *testing.B, times []clock.Milli, hosts int, name string) {
	slices.Sort(times)
	b.ReportMetric(percentile(times, 50), name+"-p50-ms")
	b.ReportMetric(percentile(times, 99), name+"-p99-ms")
	b.ReportMetric(percentile(times, 100), name+"-max-ms")
	b.ReportMetric(float64(hosts-len(times)), name+"-missing")
}

// liveHeap returns the bytes in use on the heap of the process, which holds the
// whole fleet.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCalm measures traffic, memory and CPU time without faults or changes.
func BenchmarkCalm(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.1} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("loss=%g/hosts=%d", loss, n), func(b *testing.B) {
				for range b.N {
					f := newTestFleet(n, loss, 4096)
					f.Run(clock.Minute)
					f.resetCounts()
					heap := liveHeap()
					before := time.Now()
					f.Run(clock.Minute)
					cpu := time.Since(before)
					mean, top := f.perHost()
					reads, topReads := f.readRates()
					b.ReportMetric(float64(heap)/float64(n), "heap-B/host")
					b.ReportMetric(mean, "B/s/host")
					b.ReportMetric(top, "B/s/top")
					b.ReportMetric(float64(f.Net.Messages)/60/float64(n), "msg/s/host")
					b.ReportMetric(float64(f.Net.CrossRegion)/60, "link-B/s")
					b.ReportMetric(reads, "reads/s")
					b.ReportMetric(float64(topReads), "reads-top")
					b.ReportMetric(float64(f.falseDead), "false-dead")
					b.ReportMetric(cpu.Seconds()*1e6/60/float64(n), "cpu-us/s/host")
				}
			})
		}
	}
}

// BenchmarkChange measures the time until hosts have a new value in force and
// until they know of a leaving host.
func BenchmarkChange(b *testing.B) {
	const rounds = 10
	for _, loss := range []float64{0, 0.01, 0.1} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("loss=%g/hosts=%d", loss, n), func(b *testing.B) {
				for range b.N {
					f := newTestFleet(n, loss, 65536)
					adoptions := make([]clock.Milli, 0, rounds*n)
					leaves := make([]clock.Milli, 0, rounds*n)
					for i := range rounds {
						adoptions = append(adoptions, f.adoptionTimes(f.Source.Publish(65536))...)
						f.Run(clock.Second)
						f.leaveTimes = nil
						left := f.Net.Now()
						f.Hosts[i].Agent.Leave(left)
						f.Run(5 * clock.Second)
						for _, at := range f.leaveTimes {
							leaves = append(leaves, at-left)
						}
					}
					reportTimes(b, adoptions, rounds*n, "force")
					reportTimes(b, leaves, rounds*n, "leave")
				}
			})
		}
	}
}

// BenchmarkFaults measures the time until the views of all hosts reflect a fault
// or its end.
func BenchmarkFaults(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.1} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("loss=%g/hosts=%d", loss, n), func(b *testing.B) {
				for range b.N {
					benchFaults(b, newTestFleet(n, loss, 4096))
				}
			})
		}
	}
}

func benchFaults(b *testing.B, f *testFleet) {
	n := len(f.Hosts)
	report := func(name string, done func() bool) {
		start := f.Net.Now()
		for !done() && f.Net.Now()-start < clock.Minute {
			f.Run(200 * clock.Millisecond)
		}
		b.ReportMetric(float64(f.Net.Now()-start), name+"-ms")
	}
	f.Run(30 * clock.Second)
	f.resetCounts()
	f.Stop(1)
	report("dead", func() bool { return f.countState(1, member.Dead) == n-1 })
	f.Start(1)
	report("replaced", func() bool { return f.countState(1, member.Alive) == n })
	f.Pause(1)
	f.Run(30 * clock.Second)
	f.Resume(1)
	report("woken", func() bool { return f.countState(1, member.Alive) == n })
	centreHosts := n / 5
	for i := range centreHosts {
		f.Stop(i)
	}
	report("centre-lost", func() bool {
		return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") == centreHosts })
	})
	for i := range centreHosts {
		f.Start(i)
	}
	report("centre-back", func() bool {
		return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") == 0 && f.seesAllAlive(a) })
	})
	f.resetCounts()
	f.Net.Blocked = func(from, to int) bool { return f.regionOf(from) != f.regionOf(to) }
	f.Run(3 * clock.Minute)
	f.Net.Blocked = nil
	report("split-healed", func() bool { return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") == 0 }) })
	b.ReportMetric(float64(f.falseDead), "split-false-dead")
}

// BenchmarkRestart measures traffic and recovery when all processes restart at
// once.
func BenchmarkRestart(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				f := newTestFleet(n, 0, 4096)
				f.resetCounts()
				f.StartAll()
				top, ready, complete := 0.0, -1, -1
				for second := 1; second <= 40; second++ {
					before := sum(f.Net.Received)
					f.Run(clock.Second)
					top = max(top, float64(sum(f.Net.Received)-before)/float64(n))
					if ready < 0 && f.allRunning(func(a *agent.Agent) bool { return a.IsReady() }) {
						ready = second
					}
					if complete < 0 && f.allRunning(f.seesAllAlive) {
						complete = second
					}
				}
				b.ReportMetric(float64(ready), "ready-s")
				b.ReportMetric(float64(complete), "views-whole-s")
				b.ReportMetric(float64(sum(f.Net.Received))/float64(n)/40, "mean-received-B/s/host")
				reads, topReads := f.readRates()
				b.ReportMetric(top, "peak-received-B/s/host")
				b.ReportMetric(reads, "reads/s")
				b.ReportMetric(float64(topReads), "reads-top")
				b.ReportMetric(float64(f.falseDead), "false-dead")
			}
		})
	}
}

// BenchmarkForms measures the baseline topologies.
func BenchmarkForms(b *testing.B) {
	for _, n := range []int{60, 240, 780} {
		topologies := map[string]Topology{
			"mesh":   Mesh(n),
			"gossip": Gossip(n, rand.New(rand.NewPCG(7, 7))),
			"tree":   Tree(FiveCentres(n)),
		}
		for _, name := range []string{"mesh", "gossip", "tree"} {
			for _, loss := range []float64{0, 0.01, 0.1} {
				b.Run(fmt.Sprintf("form=%s/loss=%g/hosts=%d", name, loss, n), func(b *testing.B) {
					for range b.N {
						benchTopology(b, topologies[name], n, loss)
					}
				})
			}
		}
	}
}

func benchTopology(b *testing.B, topology Topology, n int, loss float64) {
	places := make([]Place, 0, n)
	for _, c := range FiveCentres(n) {
		places = append(places, slices.Repeat([]Place{c.Place}, c.Hosts)...)
	}
	run := NewTopologyRun(NewNet(7, places), topology)
	run.Net.Loss = loss
	run.Run(2 * clock.Second)
	run.Net.Reset()
	run.Run(5 * clock.Second)
	mean, top := 0.0, 0.0
	for i := range places {
		rate := float64(run.Net.Sent[i]+run.Net.Received[i]) / 5
		mean += rate / float64(n)
		top = max(top, rate)
	}
	b.ReportMetric(mean, "B/s/host")
	b.ReportMetric(top, "B/s/top")
	b.ReportMetric(float64(run.Net.CrossRegion)/5, "link-B/s")
	run.Publish(FiveCentres(n))
	run.Run(20 * clock.Second)
	reportTimes(b, run.AdoptionTimes, n, "force")
}

// BenchmarkDay measures the traffic of 1,200 changes a day, one each 72 s.
func BenchmarkDay(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				f := newTestFleet(n, 0, 65536)
				f.resetCounts()
				const changes = 10
				for range changes {
					f.Source.Publish(65536)
					f.Run(72 * clock.Second)
				}
				mean, top := f.perHost()
				reads, topReads := f.readRates()
				b.ReportMetric(mean, "B/s/host")
				b.ReportMetric(top, "B/s/top")
				b.ReportMetric(float64(f.Net.CrossRegion)/(72*changes), "link-B/s")
				b.ReportMetric(reads, "reads/s")
				b.ReportMetric(float64(topReads), "reads-top")
			}
		})
	}
}

// BenchmarkWhole measures a change that a delta does not shorten. The simulated
// network has unlimited bandwidth.
func BenchmarkWhole(b *testing.B) {
	const size = 1_000_000
	for _, n := range sizes {
		for _, oneRegion := range []bool{false, true} {
			b.Run(fmt.Sprintf("near=%t/hosts=%d", oneRegion, n), func(b *testing.B) {
				for range b.N {
					f := newTestFleet(n, 0.01, size)
					if oneRegion {
						f.Source.Reachable = func(i int) bool { return f.regionOf(i) == f.regionOf(0) }
						f.Run(clock.Second)
					}
					f.resetCounts()
					reportTimes(b, f.adoptionTimes(f.Source.Rewrite(size)), n, "force")
					mean, top := 0.0, int64(0)
					for i := range f.Hosts {
						mean += float64(f.Net.Received[i]) / float64(n) / size
						top = max(top, f.Net.Sent[i])
					}
					b.ReportMetric(mean, "values-received/host")
					b.ReportMetric(float64(top)/size, "values-sent/top")
					b.ReportMetric(float64(f.Net.CrossRegion)/size, "values-over-link")
				}
			})
		}
	}
}

// BenchmarkSnapshot measures the snapshot that an agent publishes once a second
// and after each change.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newTestFleet(n, 0, 4096)
			b.ReportAllocs()
			for b.Loop() {
				f.Hosts[0].Agent.Snapshot(f.Net.Now())
			}
		})
	}
}
