package side

import (
	"net"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"siskinswitch.example/siskin/internal/trans/flow"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// reportEvery is the time between two reports of the metrics scope.
	reportEvery = time.Second
	// metricsRead bounds the time in which a scrape's head must be complete.
	metricsRead = 5 * time.Second
)

// meter holds the daemon's metrics.
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
	// The scope lives as long as the process.
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

// count adds one to the counter of the name with one tag.
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

func (m *meter) counts() flow.Counts {
	attempts := m.scope.Counter("attempts")
	repeats := m.scope.Counter("repeats")
	opened := m.scope.Counter("target_connections")
	return flow.Counts{
		Answered: func(_, end string, _ clock.Milli) { m.count("answers", "end", end) },
		Attempts: func() { attempts.Inc(1) },
		Repeats:  func() { repeats.Inc(1) },
		Refused:  func(reason string) { m.count("refusals", "reason", reason) },
		Opened:   func() { opened.Inc(1) },
	}
}

// serve answers scrapes until l is closed.
func (m *meter) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.handler)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: metricsRead,
	}
	// Serve returns when the daemon closes its listener.
	_ = server.Serve(l)
}
