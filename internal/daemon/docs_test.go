package daemon

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"siskinswitch.example/siskin/internal/proto/event"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/pkg/clock"
)

// tableCells returns the first cells that match the pattern in all tables of a page,
// each with the second cell of its row.
func tableCells(t *testing.T, page, pattern string) map[string]string {
	t.Helper()
	text, err := os.ReadFile("../../docs/" + page)
	if err != nil {
		t.Fatal(err)
	}
	cells := make(map[string]string)
	for _, m := range regexp.MustCompile(`(?m)^\| (`+pattern+`) \| ([^|]*) \|`).FindAllStringSubmatch(string(text), -1) {
		if _, twice := cells[m[1]]; twice {
			t.Errorf("%s lists %s twice", page, m[1])
		}
		cells[m[1]] = m[2]
	}
	return cells
}

func TestEventsPage(t *testing.T) {
	documented := tableCells(t, "EVENTS.md", `\d+`)
	source, err := os.ReadFile("../proto/event/event.go")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), "= Event{"); n != len(event.All()) {
		t.Errorf("%d events are declared, All lists %d", n, len(event.All()))
	}
	last := 0
	for _, e := range event.All() {
		if e.Number <= last {
			t.Errorf("event %d is listed after event %d", e.Number, last)
		}
		last = e.Number
		if got := documented[strconv.Itoa(e.Number)]; got != e.Text {
			t.Errorf("event %d: the page says %q, the code %q", e.Number, got, e.Text)
		}
		delete(documented, strconv.Itoa(e.Number))
	}
	for number := range documented {
		t.Errorf("the page lists event %s, which does not exist", number)
	}
}

func TestMetricsPage(t *testing.T) {
	f := newFleet(t)
	f.call("back-1", "front/read", nil)
	for _, d := range f.daemons {
		d.metrics.onResolved("done")
	}
	documented := slices.Sorted(maps.Keys(tableCells(t, "METRICS.md", "`siskin_[a-z_]+`")))
	types := regexp.MustCompile(`(?m)^# TYPE (siskin_[a-z_]+) `)
	var served []string
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep((20 * clock.Millisecond).Duration()) {
		names := make(map[string]bool)
		for name := range f.daemons {
			_, body := f.get(name, admin.PathMetrics)
			for _, m := range types.FindAllStringSubmatch(string(body), -1) {
				names["`"+m[1]+"`"] = true
			}
		}
		served = slices.Sorted(maps.Keys(names))
		if slices.Equal(served, documented) {
			return
		}
	}
	t.Errorf("daemons serve\n%v, the page lists\n%v", served, documented)
}

func TestReasonsPage(t *testing.T) {
	documented := tableCells(t, "METRICS.md", "`[a-z]+`")
	for _, reason := range []refuse.Reason{
		refuse.Malformed, refuse.Absent, refuse.Denied, refuse.Ticket, refuse.Expired, refuse.Shed, refuse.Full, refuse.Leaving,
		refuse.Starting, refuse.Duplicate, refuse.Canceled, refuse.Retries, refuse.Targets, refuse.Lost, refuse.Partial, refuse.Large,
	} {
		if _, ok := documented["`"+string(reason)+"`"]; !ok {
			t.Errorf("the page lacks the reason %s", reason)
		}
		delete(documented, "`"+string(reason)+"`")
	}
	if len(documented) > 0 {
		t.Errorf("the page lists reasons that do not exist: %v", documented)
	}
}

// TestRunbookLinks checks that links into the runbook lead to existing sections, and
// that the events which the runbook names exist.
func TestRunbookLinks(t *testing.T) {
	runbook, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	anchors := make(map[string]bool)
	for _, m := range regexp.MustCompile(`(?m)^##+ (.+)$`).FindAllStringSubmatch(string(runbook), -1) {
		heading := regexp.MustCompile(`[^a-z0-9 -]`).ReplaceAllString(strings.ToLower(m[1]), "")
		anchors[strings.ReplaceAll(heading, " ", "-")] = true
	}
	links := regexp.MustCompile(`\((?:OPERATIONS\.md)?#([a-z0-9-]+)\)`)
	for _, page := range []string{"OPERATIONS.md", "EVENTS.md", "METRICS.md"} {
		text, err := os.ReadFile("../../docs/" + page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range links.FindAllStringSubmatch(string(text), -1) {
			if !anchors[m[1]] && m[1] != "reasons" {
				t.Errorf("%s links to #%s, but the runbook has no such section", page, m[1])
			}
		}
	}
	numbers := make(map[string]bool)
	for _, e := range event.All() {
		numbers[strconv.Itoa(e.Number)] = true
	}
	for _, m := range regexp.MustCompile(`event (\d{3})`).FindAllStringSubmatch(string(runbook), -1) {
		if !numbers[m[1]] {
			t.Errorf("the runbook names event %s, which does not exist", m[1])
		}
	}
}
