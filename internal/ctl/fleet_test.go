package ctl

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// fakeFleet is a small fleet of which only the operator interfaces exist.
type fakeFleet struct {
	t   *testing.T
	doc rules.Document
	set *rules.Set
	// answer returns the report of an instance at a path, nil for an answer
	// with status 404.
	answer func(name, path string) any
	// faults replaces the handlers of faulty instances, by name.
	faults map[string]fasthttp.RequestHandler
}

// newFakeFleet starts the operator interfaces of service01-1, service01-2,
// service02-1 and service02-2.
func newFakeFleet(t *testing.T) *fakeFleet {
	t.Helper()
	d := &fakeFleet{
		t:      t,
		faults: make(map[string]fasthttp.RequestHandler),
	}
	d.doc = sampleSize{
		instances: 4,
		services:  2,
		depth:     2,
		regions:   2,
		centres:   2,
	}.document()
	for s := range d.doc.Services {
		for i := range d.doc.Services[s].Instances {
			d.serve(&d.doc.Services[s].Instances[i])
		}
	}
	set, err := config.Parse(config.Encode(d.doc))
	if err != nil {
		t.Fatal(err)
	}
	d.set = set
	return d
}

func (d *fakeFleet) serve(i *rules.Instance) {
	d.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	i.Operator = ln.Addr().(*net.TCPAddr).Port
	name := i.Name
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if fault := d.faults[name]; fault != nil {
				fault(ctx)
				return
			}
			if string(ctx.Path()) == admin.PathDocument {
				ctx.SetBody(config.Encode(d.doc))
				return
			}
			report := d.answer(name, string(ctx.Path()))
			if report == nil {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			data, _ := json.Marshal(report)
			ctx.SetBody(data)
		},
	}
	go func() { _ = server.Serve(ln) }()
	d.t.Cleanup(func() { _ = ln.Close() })
}

// run runs siskinctl and returns its exit code and output. FILE in line is
// replaced by the path of the fleet's document.
func (d *fakeFleet) run(line string) (int, string) {
	d.t.Helper()
	file := filepath.Join(d.t.TempDir(), "doc.json")
	if err := os.WriteFile(file, config.Encode(d.doc), newFileMode); err != nil {
		d.t.Fatal(err)
	}
	var out bytes.Buffer
	code := Run(d.t.Context(), Env{
		In:  strings.NewReader(""),
		Out: &out,
		Err: &out,
	}, strings.Fields(strings.ReplaceAll(line, "FILE", file)))
	return code, out.String()
}

func (d *fakeFleet) head(name string) admin.Head {
	return admin.Head{
		Format: admin.Format,
		Name:   name,
		Time:   1_000_000,
	}
}

// healthyStatus returns the status of a daemon that has nothing to report.
func (d *fakeFleet) healthyStatus(name string) admin.Status {
	return admin.Status{
		Head:  d.head(name),
		Age:   clock.Hour,
		Ready: true,
		ActiveConfig: admin.ActiveConfig{
			Version: d.set.Version(),
			Digest:  d.set.Digest(),
		},
		Gate: admin.Gate{
			Short: admin.Lane{
				Limit: 10,
			},
		},
	}
}

func contains(t *testing.T, out string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
}

// TestFaultyDaemons makes two of four daemons fail in one way after another.
// Each subcommand must still report on the other two and list the missing
// daemons with the cause.
func TestFaultyDaemons(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	faults := map[string]struct {
		handler fasthttp.RequestHandler
		cause   string
	}{
		"hanging": {
			handler: func(*fasthttp.RequestCtx) { <-block },
			cause:   "no answer within 200ms",
		},
		"garbage": {
			handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("<html>") },
			cause:   "not a report",
		},
		"wrong types": {
			handler: func(ctx *fasthttp.RequestCtx) {
				ctx.SetBodyString(`{"format":1,"name":"service01-1","members":7,"entries":7,"spans":7,"rows":7}`)
			},
			cause: "cannot be read",
		},
		"oversize": {
			handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, admin.MaxAnswer+1)) },
			cause:   "larger than",
		},
		"another format": {
			handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"format":2,"name":"service01-1"}`) },
			cause:   "speaks format 2",
		},
		"another daemon": {
			handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"format":1,"name":"stranger"}`) },
			cause:   `"stranger" answers in its place`,
		},
		"failing": {
			handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(503) },
			cause:   "status 503",
		},
		"closing": {
			handler: func(ctx *fasthttp.RequestCtx) { ctx.HijackSetNoResponse(true); ctx.Hijack(func(net.Conn) {}) },
			cause:   "closed connection",
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := newFakeFleet(t)
			d.answer = d.smallReport
			d.faults["service01-1"] = fault.handler
			d.faults["service02-2"] = fault.handler
			for _, line := range []string{"status", "explain id-1", "record --from 1970-01-01T00:00:00Z", "burn", "watch --count 1"} {
				code, out := d.run(line + " --wait 200ms FILE")
				if code != 1 {
					t.Errorf("%s: code %d, want 1\n%s", line, code, out)
				}
				contains(t, out, "2 of 4 daemons answered", "PARTIAL: 2 daemons missing", fault.cause)
			}
		})
	}
	t.Run("none", func(t *testing.T) {
		d := newFakeFleet(t)
		d.answer = d.smallReport
		for _, line := range []string{"status FILE", "explain id-1 FILE", "burn FILE", "watch --count 2 --every 500ms FILE"} {
			if code, out := d.run(line); code != 0 || !strings.Contains(out, "4 of 4 daemons answered\n") {
				t.Errorf("%s: code %d, want 0\n%s", line, code, out)
			}
		}
	})
	t.Run("all", func(t *testing.T) {
		d := newFakeFleet(t)
		d.answer = func(string, string) any { return nil }
		code, out := d.run("status FILE")
		contains(t, out, "0 of 4 daemons answered", "Nothing is known")
		if code != 1 {
			t.Errorf("code %d, want 1", code)
		}
	})
}

// smallReport returns a minimal report for each path.
func (d *fakeFleet) smallReport(name, path string) any {
	switch path {
	case admin.PathStatus:
		return d.healthyStatus(name)
	case admin.PathTrail:
		return admin.RequestLog{
			Head: d.head(name),
			Entries: []reqlog.Entry{
				{
					Time:      1000,
					Root:      "id-1",
					ID:        "id-1",
					Direction: reqlog.Inbound,
					Outcome:   header.Done,
				},
			},
		}
	case admin.PathRecord:
		return admin.ConfigHistory{
			Head: d.head(name),
		}
	case admin.PathBurn:
		return admin.Burn{
			Head:    d.head(name),
			Windows: burn.Windows(),
			Width:   burn.CoarseWidth,
		}
	}
	return nil
}

func TestStatus(t *testing.T) {
	tests := map[string]struct {
		// change modifies the status of service01-1, or of every daemon if
		// everyDaemon is set.
		change      func(s *admin.Status)
		everyDaemon bool
		code        int
		want        []string
	}{
		"calm": {
			change: func(*admin.Status) {},
			want:   []string{"in force at 4 daemons", "Nothing to look at"},
		},
		"overloaded": {
			change: func(s *admin.Status) {
				s.Gate.Overload = true
				s.Gate.Floor = "high"
				s.Gate.Short.Running = 10
				s.Gate.Short.Queued = 7
			},
			code: 1,
			want: []string{"1 overloaded", "LOOK: service01-1", "10 running and 7 queued with a limit of 10; sheds everything below high and a part of high"},
		},
		"leaving": {
			change: func(s *admin.Status) { s.Leaving = true },
			want:   []string{"1 leaving", "note: service01-1", "takes no new work"},
		},
		"stale": {
			change: func(s *admin.Status) { s.Stale = true },
			code:   1,
			want:   []string{"was paused"},
		},
		"starting": {
			change: func(s *admin.Status) { s.Ready = false },
			code:   1,
			want:   []string{"does not serve traffic yet"},
		},
		"older version": {
			change: func(s *admin.Status) {
				s.ActiveConfig.Version = 0
				s.ActiveConfig.Confirmed = 3 * clock.Minute
			},
			code: 1,
			want: []string{"in force at 3 daemons", "has version 0", "last confirmed 3 min 0 s ago"},
		},
		"newer version": {
			change: func(s *admin.Status) {
				s.ActiveConfig.Version = 9
				s.ActiveConfig.Digest = "d9"
			},
			code: 1,
			want: []string{"version 9", "LOOK: service02-2", "the document asked with is version 1"},
		},
		"configuration service down": {
			change:      func(s *admin.Status) { s.ActiveConfig.Confirmed = 7 * clock.Minute },
			everyDaemon: true,
			code:        1,
			want:        []string{"LOOK: no daemon that answered has reached the configuration service lately; last confirmed 7 min 0 s ago"},
		},
		"one daemon without confirmation": {
			change: func(s *admin.Status) { s.ActiveConfig.Confirmed = admin.UnknownAge },
			want:   []string{"Nothing to look at"},
		},
		"refused": {
			change: func(s *admin.Status) {
				s.RefusedConfigs = []admin.RefusedConfig{
					{
						Version: 2,
						From:    "service",
						Detail:  "too many slots",
						Age:     clock.Second,
					},
				}
			},
			code: 1,
			want: []string{"refused version 2 from service 1.0 s ago: too many slots"},
		},
		"table full": {
			change: func(s *admin.Status) { s.Guard.TimesFull = 2 },
			code:   1,
			want:   []string{"was full 2 times"},
		},
		"considers another dead": {
			change: func(s *admin.Status) {
				s.Members = []admin.Member{
					{
						Name:  "service02-1",
						State: "dead",
					},
				}
			},
			code: 1,
			want: []string{"LOOK: service02-1", "answers here, but is believed dead by 1 daemon"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFakeFleet(t)
			d.answer = func(name, _ string) any {
				s := d.healthyStatus(name)
				if name == "service01-1" || test.everyDaemon {
					test.change(&s)
				}
				return s
			}
			code, out := d.run("status FILE")
			if code != test.code {
				t.Errorf("code %d, want %d", code, test.code)
			}
			contains(t, out, test.want...)
		})
	}
}

func TestFromDaemon(t *testing.T) {
	d := newFakeFleet(t)
	d.answer = d.smallReport
	target, _ := d.set.Target("service02-2")
	if code, out := d.run("status --from-daemon " + operatorAddr(target)); code != 0 {
		t.Errorf("code %d: %s", code, out)
	}
	d.faults["service02-2"] = func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") }
	if code, out := d.run("status --from-daemon " + operatorAddr(target)); code != 1 || !strings.Contains(out, "gives no usable document") {
		t.Errorf("code %d: %s", code, out)
	}
	for _, line := range []string{"status", "status FILE FILE", "status --from-daemon 127.0.0.1:1 FILE", "status --from-daemon localhost:1", "status --from-daemon 127.0.0.1", "explain FILE", "record --from yesterday FILE", "record --to 30h FILE", "watch --count -1 FILE", "burn --wait 0s FILE"} {
		if code, out := d.run(line); code != 2 {
			t.Errorf("%s: code %d, want 2: %s", line, code, out)
		}
	}
}
