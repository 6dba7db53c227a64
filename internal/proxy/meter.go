package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/flow"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// reportEvery is the interval at which the scope passes its values to
	// Prometheus.
	reportEvery = time.Second
	// unknownAge is the gauge value of an age that is not known yet.
	unknownAge = -1
	// scrapeHeadTimeout limits the time for reading the request header of a
	// scrape.
	scrapeHeadTimeout = 5 * time.Second
)

// latencyBuckets are the bucket bounds of the time histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
}

// meter holds the daemon's metrics and serves them to Prometheus.
type meter struct {
	scope    tally.Scope
	handler  http.Handler
	counters sync.Map
}

func newMeter() *meter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	// The closer isn't needed: the scope lives as long as the process.
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "siskin",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &meter{
		scope:   scope,
		handler: reporter.HTTPHandler(),
	}
}

// count adds one to the counter of the given name and tag value. Each counter
// has only one tag key.
func (m *meter) count(name, tag, value string) {
	key := name + "\x00" + value
	found, ok := m.counters.Load(key)
	if !ok {
		found, _ = m.counters.LoadOrStore(key, m.scope.Tagged(map[string]string{tag: value}).Counter(name))
	}
	if c, ok := found.(tally.Counter); ok {
		c.Inc(1)
	}
}

// flowMetrics returns the callbacks with which the data path updates the metrics.
func (m *meter) flowMetrics() flow.Metrics {
	attempts := m.scope.Counter("attempts")
	heldBack := m.scope.Counter("held_back")
	repeats := m.scope.Counter("repeats")
	opened := m.scope.Counter("target_connections")
	answer := m.scope.Histogram("answer_time", latencyBuckets)
	wait := m.scope.Histogram("slot_wait", latencyBuckets)
	work := m.scope.Histogram("target_time", latencyBuckets)
	leaving := m.scope.Histogram("leaving_age", latencyBuckets)
	return flow.Metrics{
		Answered: func(end string, took clock.Milli) {
			m.count("answers", "end", end)
			answer.RecordDuration(took.Duration())
		},
		SlotWait:         func(took clock.Milli) { wait.RecordDuration(took.Duration()) },
		TargetTime:       func(took clock.Milli) { work.RecordDuration(took.Duration()) },
		SentLeaving:      func(age clock.Milli) { leaving.RecordDuration(age.Duration()) },
		Attempts:         func() { attempts.Inc(1) },
		Retries:          func() { repeats.Inc(1) },
		Refused:          func(reason string) { m.count("refusals", "reason", reason) },
		HeldBack:         func() { heldBack.Inc(1) },
		StatementIgnored: func(kind string) { m.count("statements_ignored", "kind", kind) },
		ConnOpened:       func() { opened.Inc(1) },
		Quota:            func(result string) { m.count("quota_messages", "result", result) },
	}
}

// gauges sets the gauges to the current state. age is the time since the store
// last answered, negative if it never has.
func (m *meter) gauges(st admit.Stats, v *model.View, age clock.Milli) {
	running, queued := 0, 0
	for _, lane := range st.Lanes {
		running += lane.Running
		queued += lane.Queued
	}
	overload := 0
	if st.Overload {
		overload = 1
	}
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	seconds := float64(unknownAge)
	if age >= 0 {
		seconds = float64(age) / float64(clock.Second)
	}
	for name, value := range map[string]float64{
		"running":               float64(running),
		"queued":                float64(queued),
		"limit":                 float64(st.Limit),
		"overload":              float64(overload),
		"version":               float64(version),
		"targets":               float64(len(v.Fleet.Targets)),
		"confirmed_age_seconds": seconds,
	} {
		m.scope.Gauge(name).Update(value)
	}
}

// learned sets the gauges of what was learned of the target.
func (m *meter) learned(st learn.State) {
	m.scope.Gauge("learned_speed").Update(st.Speed)
	m.scope.Gauge("learned_throughput").Update(st.Throughput)
}

// memory sets the gauges of a pool of memory.
func (m *meter) memory(pool string, st hold.Stats) {
	scope := m.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge("held_bytes").Update(float64(st.Used))
	scope.Gauge("held_limit_bytes").Update(float64(st.Limit))
	scope.Gauge("held_refusals").Update(float64(st.Refused))
}

// serve answers scrapes on l until l is closed.
func (m *meter) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.handler)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: scrapeHeadTimeout,
	}
	// Serve returns when the daemon closes its listener.
	_ = server.Serve(l)
}

// proofAge sets the gauge of the age of the proof that the configuration is the newest.
func (m *meter) proofAge(age clock.Milli) {
	m.scope.Gauge("config_proof_age_ms").Update(float64(age))
}
