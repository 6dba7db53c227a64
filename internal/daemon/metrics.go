package daemon

import (
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"siskinswitch.example/siskin/internal/trans/inbnd"
	"siskinswitch.example/siskin/internal/trans/outbnd"
)

// reportInterval is the time between two flushes of the scope to the reporter.
const reportInterval = time.Second

// latencyBounds are the upper bounds of the latency histograms, in seconds.
var latencyBounds = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// metrics holds the daemon's metrics. A metric with tags is created on the first
// use of each combination of tags, and later uses find it without a lock.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	close   func() error

	attempts  tally.Counter
	retries   tally.Counter
	hedges    tally.Counter
	cancelled tally.Counter
	gauges    gauges

	// answered and guarded hold a *callMetrics by callKey, resolved a
	// tally.Counter by state.
	answered sync.Map
	guarded  sync.Map
	resolved sync.Map
}

// labels lets label values keep the names of instances, places and operations as
// in the rules: Prometheus restricts the characters of metric names, not those of
// label values.
var labels = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '/', '.'},
	},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

func newMetrics(instance, place string) *metrics {
	// With its own registry, each of several daemons in one process can register.
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "siskin",
		Tags:            map[string]string{"instance": instance, "place": place},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &labels,
		// These are metrics about the library itself.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope:     scope,
		handler:   reporter.HTTPHandler(),
		close:     closer.Close,
		attempts:  scope.Counter("attempts"),
		retries:   scope.Counter("retries"),
		hedges:    scope.Counter("hedges"),
		cancelled: scope.Counter("cancelled"),
		gauges:    newGauges(scope),
	}
}

// callKey identifies the metrics of one kind of answer.
type callKey struct {
	path       string
	importance string
	outcome    string
	reason     string
}

type callMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// onAnswered counts an answer of the outbound server.
func (m *metrics) onAnswered(a outbnd.Answered) {
	m.record(&m.answered, "calls", callKey{
		path:       a.Path,
		importance: a.Importance,
		outcome:    a.Outcome,
		reason:     string(a.Reason),
	}, a.Took.Duration())
}

// onGuarded counts an answer of the inbound server.
func (m *metrics) onGuarded(a inbnd.Answered) {
	m.record(&m.guarded, "guarded", callKey{
		path:       a.Path,
		importance: a.Importance,
		outcome:    string(a.State),
		reason:     string(a.Reason),
	}, a.Took.Duration())
}

func (m *metrics) record(table *sync.Map, name string, key callKey, took time.Duration) {
	found, ok := table.Load(key)
	if !ok {
		scope := m.scope.Tagged(map[string]string{
			"path":       key.path,
			"importance": key.importance,
			"outcome":    key.outcome,
			"reason":     key.reason,
		})
		found, _ = table.LoadOrStore(key, &callMetrics{
			count:   scope.Counter(name),
			latency: scope.Histogram(name+"_latency", latencyBounds),
		})
	}
	meter := found.(*callMetrics)
	meter.count.Inc(1)
	meter.latency.RecordDuration(took)
}

// onResolved counts a lost answer whose outcome was queried, by the state that the
// guard reported.
func (m *metrics) onResolved(state string) {
	found, ok := m.resolved.Load(state)
	if !ok {
		found, _ = m.resolved.LoadOrStore(state, m.scope.Tagged(map[string]string{"state": state}).Counter("settled"))
	}
	found.(tally.Counter).Inc(1)
}
