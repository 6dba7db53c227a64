package proxy

import (
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestMetricsPage compares the table of metrics in docs/OPERATIONS.md with the
// names that a daemon serves after each metric was used once.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	section := regexp.MustCompile(`(?s)## Metrics on the platform.*?\n## `).Find(page)
	documented := make(map[string]bool)
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]*) \|`).FindAllSubmatch(section, -1) {
		for _, name := range regexp.MustCompile("siskin_[a-z_]+").FindAllString(string(row[1]), -1) {
			documented[name] = true
		}
	}
	m := newMeter()
	counts := m.flowMetrics()
	counts.Answered("done", clock.Second)
	counts.Attempts()
	counts.Retries()
	counts.Refused("full")
	counts.HeldBack()
	counts.StatementIgnored("asks")
	counts.ConnOpened()
	counts.SlotWait(clock.Second)
	counts.TargetTime(clock.Second)
	counts.SentLeaving(clock.Second)
	counts.Quota("answered")
	m.count("panics", "op", "tick")
	m.count("store_reads", "outcome", "list_failed")
	m.count("records_unreadable", "kind", "target")
	m.count("malformed", "status", "400")
	m.proofAge(clock.Second)
	m.learned(learn.State{})
	m.memory("answers", hold.Stats{})
	m.gauges(admit.Stats{}, &model.View{}, unknownAge)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go m.serve(l)
	want := slices.Sorted(maps.Keys(documented))
	var got []string
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		got = metricNames(t, "http://"+l.Addr().String()+"/metrics")
		if slices.Equal(got, want) {
			return
		}
	}
	t.Errorf("the daemon serves\n%v, the page lists\n%v", got, want)
}

// metricNames returns the sorted names of the metrics served at url.
func metricNames(t *testing.T, url string) []string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (siskin_[a-z_]+) `).FindAllSubmatch(body, -1) {
		names[string(m[1])] = true
	}
	return slices.Sorted(maps.Keys(names))
}
