package daemon

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/ctl"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/outbnd"
	"siskinswitch.example/siskin/pkg/header"
)

// get requests a path of the operator interface.
func (f *fleet) get(name, path string) (int, []byte) {
	f.t.Helper()
	settings := f.settings[name]
	status, body, err := fasthttp.GetTimeout(nil, "http://"+settings.addr(settings.Operator)+path, 5*time.Second)
	if err != nil {
		f.t.Fatalf("%s at %s: %v", path, name, err)
	}
	return status, body
}

// getReport requests a report of the operator interface and decodes it.
func getReport[T any](f *fleet, name, path string) T {
	f.t.Helper()
	var report T
	status, body := f.get(name, path)
	if err := json.Unmarshal(body, &report); err != nil || status != fasthttp.StatusOK {
		f.t.Fatalf("%s at %s: status %d, %v: %s", path, name, status, err, body)
	}
	return report
}

func TestOperatorInterface(t *testing.T) {
	f := newFleet(t)
	resp := f.call("back-1", "front/read", map[string]string{
		header.IdempotencyKey: "read-1",
	})
	id := string(resp.Header.Peek(header.ID))
	f.call("back-1", "front/pay", nil)

	t.Run("status", func(t *testing.T) {
		s := getReport[admin.Status](f, "back-1", admin.PathStatus)
		if s.Format != admin.Format || s.Name != "back-1" || !s.Ready || s.Stale || s.ActiveConfig.Version != 1 || s.ActiveConfig.Digest != config.Digest(config.Encode(f.doc)) {
			t.Errorf("status %+v", s)
		}
		if s.Totals.Done != 1 || s.Totals.Refused != 1 || s.Totals.Attempts < 1 {
			t.Errorf("totals %+v, want one done and one refused call", s.Totals)
		}
		if s.Gate.Short.Limit < 1 || s.Gate.Overload || s.Gate.Floor != "" || s.ActiveConfig.Age < 0 {
			t.Errorf("gate %+v, in force for %d", s.Gate, s.ActiveConfig.Age)
		}
	})
	t.Run("control traffic", func(t *testing.T) {
		eventually(t, "messages were counted in both directions", func() bool {
			c := getReport[admin.Status](f, "back-1", admin.PathStatus).Control
			return c.In > 0 && c.Out > 0 && c.Sent > 0 && c.Received > 0 && c.Reads > 0
		})
	})
	t.Run("status with members", func(t *testing.T) {
		s := getReport[admin.Status](f, "back-1", admin.PathStatus+"?members=all")
		if len(s.Members) != 3 {
			t.Errorf("%d members, want the three others", len(s.Members))
		}
		for _, m := range s.Members {
			if m.Name == "" || m.Age < 0 {
				t.Errorf("member %+v", m)
			}
		}
	})
	t.Run("trail", func(t *testing.T) {
		trail := getReport[admin.RequestLog](f, "back-1", admin.PathTrail+"?id="+id)
		if len(trail.Entries) != 1 || trail.Entries[0].Outcome != header.Done || trail.Entries[0].Status != fasthttp.StatusOK {
			t.Errorf("request log %+v", trail)
		}
		if all := getReport[admin.RequestLog](f, "back-1", admin.PathTrail); len(all.Entries) < 2 || all.CompleteSince != 0 {
			t.Errorf("request log %+v, want both calls and no dropped entries", all)
		}
	})
	t.Run("record", func(t *testing.T) {
		r := getReport[admin.ConfigHistory](f, "front-1", admin.PathRecord)
		if len(r.Periods) != 1 || r.Periods[0].Version != 1 || r.Periods[0].End != 0 || r.Periods[0].Start < r.Started || r.Periods[0].Start > r.Time {
			t.Errorf("record %+v", r)
		}
	})
	t.Run("burn", func(t *testing.T) {
		b := getReport[admin.Burn](f, "back-1", admin.PathBurn+"?buckets=1")
		if len(b.Objectives) != 1 || len(b.Rows) != 1 {
			t.Fatalf("burn %+v, want one objective and one row", b)
		}
		row := b.Rows[0]
		if row.Service != "front" || row.Caller != "shop" || len(row.Sums) != len(b.Windows) || row.Sums[0].Good != 1 || row.Sums[0].Bad != 0 || len(row.Buckets) != 1 {
			t.Errorf("row %+v", row)
		}
		if downstream := getReport[admin.Burn](f, "front-1", admin.PathBurn); len(downstream.Rows) != 0 {
			t.Errorf("calls on behalf of other calls counted: %+v", downstream.Rows)
		}
	})
	t.Run("document", func(t *testing.T) {
		if _, body := f.get("front-2", admin.PathDocument); string(body) != string(config.Encode(f.doc)) {
			t.Errorf("document of %d bytes differs from the published one", len(body))
		}
	})
	t.Run("others", func(t *testing.T) {
		for path, want := range map[string]int{
			admin.PathReady:         fasthttp.StatusOK,
			admin.PathMetrics:       fasthttp.StatusOK,
			admin.PathProfile + "/": fasthttp.StatusNotFound,
			"/":                     fasthttp.StatusNotFound,
		} {
			if status, _ := f.get("front-1", path); status != want {
				t.Errorf("%s answered %d, want %d", path, status, want)
			}
		}
	})
}

func TestLimited(t *testing.T) {
	inside, release := make(chan bool), make(chan bool)
	handler := limited(1, func(*fasthttp.RequestCtx) {
		inside <- true
		<-release
	})
	go handler(&fasthttp.RequestCtx{})
	<-inside
	var second fasthttp.RequestCtx
	handler(&second)
	if status := second.Response.StatusCode(); status != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d above the limit, want 503", status)
	}
	close(release)
}

func TestBurnJudgement(t *testing.T) {
	good := outbnd.Answered{
		Outcome: header.Done,
		Status:  200,
		Root:    true,
		Took:    100,
	}
	tests := map[string]struct {
		change  func(a *outbnd.Answered)
		good    bool
		ignored bool
	}{
		"complete answer in time": {
			change: func(*outbnd.Answered) {},
			good:   true,
		},
		"target reports a client error": {
			change: func(a *outbnd.Answered) { a.Status = 404 },
			good:   true,
		},
		"late": {
			change: func(a *outbnd.Answered) { a.Took = 101 },
		},
		"target failed": {
			change: func(a *outbnd.Answered) { a.Status = 500 },
		},
		"shed": {
			change: func(a *outbnd.Answered) { a.Outcome, a.Reason = header.NotRun, refuse.Shed },
		},
		"expired": {
			change: func(a *outbnd.Answered) { a.Outcome, a.Reason = header.NotRun, refuse.Expired },
		},
		"unknown": {
			change: func(a *outbnd.Answered) { a.Outcome, a.Reason = header.Unknown, refuse.Lost },
		},
		"ticket offered": {
			change:  func(a *outbnd.Answered) { a.Outcome, a.Reason = header.NotRun, refuse.Ticket },
			ignored: true,
		},
	}
	objective := rules.Objective{
		Latency: 100,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := good
			test.change(&a)
			if isGood(a, objective) != test.good || isCallersFault(a.Reason) != test.ignored {
				t.Errorf("good %v, ignored %v", isGood(a, objective), isCallersFault(a.Reason))
			}
		})
	}
}

// TestOperatorsClient runs siskinctl against a fleet, first with all daemons running,
// then with half of them killed.
func TestOperatorsClient(t *testing.T) {
	f := newFleet(t)
	id := string(f.call("back-1", "front/read", nil).Header.Peek(header.ID))
	settings := f.settings["back-1"]
	from := " --wait 1s --from-daemon " + settings.addr(settings.Operator)
	lines := map[string]string{
		"status":                  "version 1",
		"watch --count 1":         "front    west/w1  2/2",
		"explain " + id:           "ran on the target",
		"record --from 1s":        "by tests: first",
		"burn":                    "front    all         all     99.9%",
		"explain --json " + id:    `"status": 200`,
		"record --json --from 1s": `"firstat"`,
	}
	runSiskinctl := func(line string) (int, string) {
		var out bytes.Buffer
		code := ctl.Run(t.Context(), ctl.Env{
			Out: &out,
			Err: &out,
		}, strings.Fields(line+from))
		return code, out.String()
	}
	for line, want := range lines {
		code, out := runSiskinctl(line)
		if !strings.Contains(out, want) {
			t.Errorf("%s: code %d, no %q in\n%s", line, code, want, out)
		}
		if code != 0 && !strings.HasPrefix(line, "record") {
			t.Errorf("%s: code %d with all daemons running\n%s", line, code, out)
		}
	}
	for _, name := range []string{"front-1", "back-2"} {
		f.daemons[name].Kill()
	}
	for line, want := range lines {
		code, out := runSiskinctl(line)
		if line == "watch --count 1" {
			want = "front    west/w1  1/2"
		}
		if code != 1 || !strings.Contains(out, want) && !strings.HasPrefix(line, "explain") {
			t.Errorf("%s without half of the daemons: code %d, no %q in\n%s", line, code, want, out)
		}
	}
}
