package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

func TestExplainOrdersAChain(t *testing.T) {
	d := newFakeFleet(t)
	entries := map[string][]reqlog.Entry{
		"service01-1": {
			{
				Time:           2000,
				Root:           "root",
				ID:             "root",
				Path:           "service01/write",
				Direction:      reqlog.Outbound,
				Target:         "service01-2",
				Outcome:        header.Done,
				Status:         200,
				Attempts:       2,
				AttemptTargets: "service01-1 service01-2",
				Took:           1000,
			},
		},
		"service01-2": {
			{
				// By the clock of this host, the call arrived before it was
				// made.
				Time:      1750,
				Root:      "root",
				ID:        "root",
				Path:      "service01/write",
				Direction: reqlog.Inbound,
				Outcome:   header.Done,
				Took:      800,
				Queued:    30,
			},
		},
		"service02-1": {
			{
				Time:      1500,
				Root:      "root",
				ID:        "deeper",
				Path:      "service02/write",
				Direction: reqlog.Inbound,
				Depth:     1,
				Outcome:   header.NotRun,
				Reason:    "shed",
				Took:      1,
			},
		},
	}
	// This chain began later, although its root id sorts first.
	entries["service02-2"] = append(entries["service02-2"], reqlog.Entry{
		Time:      9000,
		Root:      "another",
		ID:        "deeper",
		Path:      "service02/write",
		Direction: reqlog.Inbound,
		Outcome:   header.Done,
		Replayed:  true,
	})
	d.answer = func(name, _ string) any {
		return admin.RequestLog{
			Head:          d.head(name),
			CompleteSince: 400_000,
			Entries:       entries[name],
		}
	}
	// The id of a call further down leads to its whole chain.
	code, out := d.run("explain deeper FILE")
	if code != 0 {
		t.Errorf("code %d", code)
	}
	contains(t, out, "after 2 attempts at service01-1, service01-2", "800 ms, 30 of them in the queue", "did not run here: overload")
	outer, target, deeper := strings.Index(out, "done with status"), strings.Index(out, "ran on the target"), strings.Index(out, "did not run here")
	if outer > target || target > deeper || strings.Count(out, "did not run here") != 1 {
		t.Errorf("decisions out of order or repeated:\n%s", out)
	}
	if later := strings.Index(out, "ran earlier and was given the kept answer again"); later < deeper {
		t.Errorf("the replayed answer is missing or before the chain that began earlier:\n%s", out)
	}
	clear(entries)
	code, out = d.run("explain nothing FILE")
	if code != 1 {
		t.Errorf("code %d for an id that no daemon knows", code)
	}
	contains(t, out, "No daemon that answered remembers nothing.", "reaches back 10 min 0 s")
}

func TestRecordMerge(t *testing.T) {
	const from, to = 1000, 9000
	one := admin.ConfigPeriod{
		Version: 1,
		Digest:  "d1",
		Start:   500,
		End:     4000,
	}
	two := admin.ConfigPeriod{
		Version: 2,
		Digest:  "d2",
		Start:   4000,
	}
	tests := map[string]struct {
		records        []admin.ConfigHistory
		versions       int
		gaps           []timeRange
		contradictions int
		// lastStart is when the last daemon applied the last version.
		lastStart clock.Milli
	}{
		"two daemons, one of them later": {
			records: []admin.ConfigHistory{
				{
					Periods: []admin.ConfigPeriod{one, two},
				},
				{
					Periods: []admin.ConfigPeriod{withTimes(one, 600, 5000), withTimes(two, 5000, 0)},
				},
			},
			versions:  2,
			lastStart: 5000,
		},
		"started in the middle": {
			records: []admin.ConfigHistory{
				{
					Started: 3900,
					Periods: []admin.ConfigPeriod{two},
				},
			},
			versions:  1,
			gaps:      []timeRange{times(from, 4000)},
			lastStart: 4000,
		},
		"hole": {
			records: []admin.ConfigHistory{
				{
					Periods: []admin.ConfigPeriod{withTimes(one, 500, 3000), two},
				},
			},
			versions:  2,
			gaps:      []timeRange{times(3000, 4000)},
			lastStart: 4000,
		},
		"nothing": {
			records: []admin.ConfigHistory{
				{},
			},
			gaps: []timeRange{times(from, to)},
		},
		"before the span": {
			records: []admin.ConfigHistory{
				{
					Periods: []admin.ConfigPeriod{withTimes(one, 10, 900), withTimes(two, 900, 0)},
				},
			},
			versions:  1,
			lastStart: 900,
		},
		"back to an earlier version": {
			records: []admin.ConfigHistory{
				{
					Periods: []admin.ConfigPeriod{withTimes(two, 500, 4000), withTimes(one, 4000, 0)},
				},
			},
			versions:       2,
			contradictions: 1,
			lastStart:      500,
		},
		"one version, two documents": {
			records: []admin.ConfigHistory{
				{
					Periods: []admin.ConfigPeriod{withTimes(two, 500, 0)},
				},
				{
					Periods: []admin.ConfigPeriod{
						{
							Version: 2,
							Digest:  "other",
							Start:   500,
						},
					},
				},
			},
			versions:       2,
			contradictions: 1,
			lastStart:      500,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := history{
				timeRange: timeRange{
					From: from,
					To:   to,
				},
			}
			for _, r := range test.records {
				h.addDaemon(&rules.Target{}, r)
			}
			for _, v := range h.Versions {
				if len(v.Places) != 1 || v.Places[0].Daemons != v.Daemons || v.Places[0].LastStart != v.LastStart || v.Places[0].End != v.End {
					t.Errorf("the only place differs from the version: %+v", v)
				}
			}
			h.finish()
			if len(h.Versions) != test.versions || len(h.Contradictions) != test.contradictions || len(h.Gaps) != len(test.gaps) {
				t.Fatalf("%d versions, contradictions %v, gaps %v", len(h.Versions), h.Contradictions, h.Gaps)
			}
			for n, want := range test.gaps {
				if h.Gaps[n].timeRange != want {
					t.Errorf("gap %+v, want %+v", h.Gaps[n].timeRange, want)
				}
			}
			if n := len(h.Versions); n > 0 && h.Versions[n-1].LastStart != test.lastStart {
				t.Errorf("the last daemon applied the last version at %d, want %d", h.Versions[n-1].LastStart, test.lastStart)
			}
		})
	}
}

func times(from, to clock.Milli) timeRange {
	return timeRange{
		From: from,
		To:   to,
	}
}

func withTimes(s admin.ConfigPeriod, start, end clock.Milli) admin.ConfigPeriod {
	s.Start = start
	s.End = end
	return s
}

func TestRecordTellsSlowPlaces(t *testing.T) {
	d := newFakeFleet(t)
	d.answer = func(name, _ string) any {
		start := clock.Milli(1000)
		if target, _ := d.set.Target(name); target.Region == "region2" {
			start += 42 * clock.Second
		}
		return admin.ConfigHistory{
			Head: d.head(name),
			Periods: []admin.ConfigPeriod{
				{
					Version: 7,
					Digest:  "abcdef0123",
					Author:  "awa",
					Reason:  "split",
					Start:   start,
				},
			},
		}
	}
	code, out := d.run("record --from 1970-01-01T00:01:00Z FILE")
	if code != 0 {
		t.Errorf("code %d", code)
	}
	contains(t, out, "version 7 (abcdef01) by awa: split", "at 4 daemons 42.0 s later", "region2/centre2: at 2 daemons from 42.0 s to 42.0 s later; still in force", "No gaps.")
}

func TestBurnAddsUp(t *testing.T) {
	d := newFakeFleet(t)
	bad := admin.Count{
		Good: 90,
		Bad:  10,
	}
	d.answer = func(name, _ string) any {
		b := admin.Burn{
			Head:    d.head(name),
			Age:     30 * clock.Minute,
			Windows: burn.Windows(),
			Width:   burn.CoarseWidth,
			Objectives: []admin.Objective{
				{
					Service: "service01",
					Good:    995_000,
					Latency: 100,
				},
			},
		}
		for _, caller := range []string{"shop", "<b>"} {
			b.Rows = append(b.Rows, admin.Row{
				Service:    "service01",
				Importance: "vital",
				Caller:     caller,
				Sums:       []admin.Count{bad, bad, bad, bad, bad},
				Buckets:    []admin.Count{bad},
			})
		}
		return b
	}
	page := filepath.Join(t.TempDir(), "burn.html")
	code, out := d.run("burn --html " + page + " FILE")
	if code != 1 {
		t.Errorf("code %d while a budget burns", code)
	}
	// 4 daemons report 2 rows of 100 requests each. 10 % of bad requests where
	// 0.5 % are allowed is a burn rate of 20.
	contains(t, out, "99.5%", "800", "20.0", "fast", "seen")
	html, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	contains(t, string(html), "<svg", `class="fast"`, "&lt;b&gt;", "rate 20.0, 80 of 800 bad")
	for _, remote := range []string{"http:", "https:", "<script", "url(", "@import"} {
		if strings.Contains(string(html), remote) {
			t.Errorf("the page refers to something outside by %q", remote)
		}
	}
	if _, out := d.run("burn --json FILE"); !strings.Contains(out, `"seen": 0.5`) {
		t.Errorf("30 minutes are not reported as half of an hour:\n%s", out)
	}
}
