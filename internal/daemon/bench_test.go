package daemon

import (
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	// maxAddedLatency is the target for the latency that two hops add at p99.
	maxAddedLatency = 1800 * time.Microsecond
	// benchRate is the load of one daemon, in calls a second, for which
	// maxAddedLatency holds.
	benchRate = 1000
	// benchWorkers is the number of goroutines that share the rate.
	benchWorkers = 16
	// warmUpCalls is the number of calls made before the measurement.
	warmUpCalls = 2000
)

// BenchmarkAddedLatency makes calls at benchRate directly to a target, then through
// two daemons, and compares the latencies. It fails if the p99 grows by more than
// maxAddedLatency.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b)
	settings := f.settings["back-1"]
	through := settings.addr(settings.Outbound)
	direct := f.targets["back-1"].Addr()
	measure(b, through, warmUpCalls)
	b.ResetTimer()
	base := measure(b, direct, b.N)
	hops := measure(b, through, b.N)
	added := func(q float64) time.Duration {
		return time.Duration(hops.ValueAtQuantile(q)-base.ValueAtQuantile(q)) * time.Microsecond
	}
	b.ReportMetric(float64(base.ValueAtQuantile(99)), "direct-p99-us")
	b.ReportMetric(float64(added(50).Microseconds()), "added-p50-us")
	b.ReportMetric(float64(added(99).Microseconds()), "added-p99-us")
	b.Logf("direct p50 %d p99 %d, through p50 %d p99 %d us", base.ValueAtQuantile(50), base.ValueAtQuantile(99), hops.ValueAtQuantile(50), hops.ValueAtQuantile(99))
	if b.N >= benchRate && added(99) > maxAddedLatency {
		b.Fatalf("two hops add %v at p99, the target is %v", added(99), maxAddedLatency)
	}
}

// measure makes n calls to addr at benchRate and returns their latencies in
// microseconds, counted from the instant at which each call was due.
func measure(b *testing.B, addr string, n int) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for w := range benchWorkers {
		wg.Go(func() {
			client := benchClient(addr)
			for i := w; i < n; i += benchWorkers {
				due := start.Add(time.Duration(i) * time.Second / benchRate)
				time.Sleep(time.Until(due))
				if err := benchCall(client, addr); err != nil {
					b.Errorf("call: %v", err)
					return
				}
				mu.Lock()
				_ = h.RecordValue(time.Since(due).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return h
}

func benchClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxIdemponentCallAttempts: 1,
	}
}

func benchCall(client *fasthttp.HostClient, addr string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/back/read")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+testSecret)
	req.SetBodyString("body")
	return client.DoTimeout(req, resp, time.Second)
}

// BenchmarkCall makes sequential calls through two daemons, to measure the
// allocations and the CPU time of one call.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b)
	settings := f.settings["back-1"]
	addr := settings.addr(settings.Outbound)
	client := benchClient(addr)
	b.ReportAllocs()
	for b.Loop() {
		if err := benchCall(client, addr); err != nil {
			b.Fatal(err)
		}
	}
}
