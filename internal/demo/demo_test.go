package demo

import (
	"context"
	"errors"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

func parse(t *testing.T, d Deployment) *rules.Set {
	t.Helper()
	set, err := config.Parse(d.Document)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// smallDeployment returns a deployment with two instances each of the payment
// and ledger services and a light load. This suffices for calls two levels deep.
func smallDeployment(t *testing.T) Deployment {
	t.Helper()
	d := Xaalis()
	doc := parse(t, d).Document()
	var kept []rules.Service
	for _, s := range doc.Services {
		if s.Name != "payment" && s.Name != "ledger" {
			continue
		}
		s.Instances = s.Instances[1:3]
		var ops []rules.Operation
		for _, op := range s.Operations {
			if op.Name == "refund" || op.Name == "post" || op.Name == "read" {
				op.Calls = onlyTo(op.Calls, "ledger/post")
				ops = append(ops, op)
			}
		}
		s.Operations = ops
		kept = append(kept, s)
	}
	doc.Objectives = nil
	d.Document = config.Encode(doc.WithServices(kept))
	d.Rate = 20
	d.Streams = []Stream{
		{
			Path:   "payment/refund",
			Caller: "shop-tilene",
			Weight: 1,
		},
		{
			Path:   "ledger/read",
			Caller: "back-office",
			Weight: 1,
		},
	}
	return d
}

func onlyTo(calls []string, path string) []string {
	var kept []string
	for _, c := range calls {
		if c == path {
			kept = append(kept, c)
		}
	}
	return kept
}

// TestRunKeepsInvariants runs a small fleet under every system and checks only
// results that do not depend on the speed of the machine.
func TestRunKeepsInvariants(t *testing.T) {
	d := smallDeployment(t)
	var entries []string
	result, err := Run(context.Background(), Config{
		Deployments: []Deployment{d},
		Systems:     Systems(),
		Length:      MinSeconds * clock.Second,
		Scale:       1,
		Seed:        1,
		Log:         zap.NewNop(),
		OnPhase:     func(s RunStatus) { entries = append(entries, s.System.String()+" "+s.Phase) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if !result.InvariantsHold() {
		t.Errorf("an invariant broke: %+v", result.Deployments[0][0].Verdict)
	}
	if len(entries) != len(Systems())*3 {
		t.Errorf("phases = %v, want three for each system", entries)
	}
	for _, trial := range result.Deployments[0] {
		succeeded := int64(0)
		for _, phase := range trial.Report.Phases {
			succeeded += phase.Total().Succeeded
		}
		if succeeded == 0 {
			t.Errorf("nothing completed under %v", trial.System)
		}
	}
	var text, json strings.Builder
	if err := errors.Join(result.WriteTable(&text), result.WriteJSON(&json)); err != nil {
		t.Error(err)
	}
	checkLeaks(t)
}

// leakTimeout bounds the wait for goroutines to end. It states no expected time.
const leakTimeout = 20 * time.Second

// checkLeaks fails if goroutines started by code of this module still run.
func checkLeaks(t *testing.T) {
	t.Helper()
	var left []string
	for end := time.Now().Add(leakTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		buf := make([]byte, 8<<20)
		left = left[:0]
		for stack := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
			if strings.Contains(stack, "siskinswitch.example") && !strings.Contains(stack, "checkLeaks") {
				left = append(left, stack)
			}
		}
		if len(left) == 0 {
			return
		}
	}
	t.Errorf("%d goroutines are left:\n%s", len(left), strings.Join(left[:min(len(left), 5)], "\n\n"))
}

func TestFleetFreesItsAddresses(t *testing.T) {
	f, err := startFleet(smallDeployment(t), StaticLimit, 1, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	all := append([]string{targetAddr(f.instances()[0])}, f.entries()...)
	f.stop()
	for _, addr := range all {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			t.Errorf("the address is still in use: %v", err)
			continue
		}
		_ = ln.Close()
	}
}

// TestJudge checks that a violation of each invariant is detected.
func TestJudge(t *testing.T) {
	set := parse(t, Xaalis())
	call := load.CallResult{
		Key:    "k",
		Path:   "payment/pay",
		Tries:  2,
		NotRun: 2,
	}
	ran := func(path string, n int) Runs {
		return Runs{
			path: map[string]int{
				"k": n,
			},
		}
	}
	part, other, unsure := call, call, call
	part.Fault = load.Partial
	other.Fault = load.Crossed
	unsure.NotRun = 1
	tests := map[string]struct {
		call             load.CallResult
		runs             Runs
		crossedAtTargets int
		want             Verdict
	}{
		"never ran": {
			call: call,
			runs: Runs{},
		},
		"ran, and one try had an unknown outcome": {
			call: unsure,
			runs: ran("payment/pay", 1),
		},
		"ran although reported not-run": {
			call: call,
			runs: ran("payment/pay", 1),
			want: Verdict{
				FalseNotRun: 1,
			},
		},
		"non-idempotent ran twice": {
			call: unsure,
			runs: ran("payment/pay", 2),
			want: Verdict{
				DoubleRuns: 1,
			},
		},
		"downstream non-idempotent ran twice": {
			call: unsure,
			runs: ran("ledger/post", 2),
			want: Verdict{
				DoubleRuns: 1,
			},
		},
		"idempotent ran twice": {
			call: unsure,
			runs: ran("balance/read", 2),
		},
		"partial answer": {
			call: part,
			want: Verdict{
				Partial: 1,
			},
		},
		"crossed answer": {
			call: other,
			want: Verdict{
				Crossed: 1,
			},
		},
		"crossed answer to a target": {
			call:             call,
			crossedAtTargets: 3,
			want: Verdict{
				Crossed: 3,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := judge(set, []load.CallResult{tt.call}, tt.runs, tt.crossedAtTargets)
			if got.InvariantsHold() != (len(got.Examples) == 0 && tt.crossedAtTargets == 0) {
				t.Errorf("invariants hold = %v, examples = %v", got.InvariantsHold(), got.Examples)
			}
			got.Examples = nil
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("judge = %+v, want %+v", got, tt.want)
			}
			result := Result{
				Deployments: [][]Trial{
					{
						{
							System:  Siskin,
							Verdict: got,
						},
					},
				},
			}
			if result.InvariantsHold() != got.InvariantsHold() {
				t.Errorf("invariants hold in the result: %v, in its trial: %v", result.InvariantsHold(), got.InvariantsHold())
			}
		})
	}
}

// TestLoadFitsDeployments checks that the load has the intended effect. Normal
// demand uses about half of the slots of the busiest service. The crest exceeds
// its slots by far, while the vital calls alone would fit.
func TestLoadFitsDeployments(t *testing.T) {
	for _, d := range []Deployment{Xaalis(), Armor()} {
		t.Run(d.Name, func(t *testing.T) {
			if _, use := busiestService(t, d, 1, 1); use < 0.35 || use > 0.6 {
				t.Errorf("calm demand takes %.2f of the busiest service, want about half", use)
			}
			if _, use := busiestService(t, d, d.Surge, slowFactor); use < 1.5 {
				t.Errorf("the crest takes %.2f of the busiest service, want well above 1", use)
			}
			vital, weights := d, 0
			vital.Streams = nil
			set := parse(t, d)
			for _, s := range d.Streams {
				weights += s.Weight
				op, ok := set.Op(s.Path)
				if !ok || d.ServiceTimes[s.Path] == 0 {
					t.Fatalf("stream %s has no operation or no time", s.Path)
				}
				if op.Importance == rules.Vital {
					vital.Streams = append(vital.Streams, s)
				}
			}
			vital.Rate *= float64(vital.Streams[0].Weight) / float64(weights)
			if name, use := busiestService(t, vital, d.Surge, slowFactor); use > 0.9 {
				t.Errorf("the vital calls of the crest alone take %.2f of %s", use, name)
			}
		})
	}
}

func busiestService(t *testing.T, d Deployment, demand, slowdown float64) (string, float64) {
	t.Helper()
	use, err := d.SlotUse(demand, slowdown)
	if err != nil {
		t.Fatal(err)
	}
	name := ""
	for service, share := range use {
		if share > use[name] {
			name = service
		}
	}
	return name, use[name]
}

// report returns the report of a run of one call that gets no answer, with
// figures set by hand: the given number of skipped calls, and 4 calls that all
// succeeded.
func report(t *testing.T, skipped int64) load.Report {
	t.Helper()
	r, err := load.Run(context.Background(), load.Config{
		Plan: load.Plan{
			Phases: []load.Phase{
				{
					Name:   "calm",
					Length: clock.Second,
					Rate:   1000,
				},
			},
			Calls: []load.Call{
				{
					Path:     "payment/pay",
					Deadline: 1,
					Weight:   1,
				},
			},
		},
		Entries:  []string{"127.0.0.1:1"},
		MaxTries: 1,
		MaxCalls: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Phases[0].Skipped = skipped
	r.Phases[0].Lag.Reset()
	r.Phases[0].Reasons = nil
	r.Phases[0].ByImportance[rules.Vital] = load.Counts{
		Offered:   4,
		Succeeded: 4,
	}
	return r
}

// TestTableLeavesOutFalseFigures checks that the table of a trial on an
// overloaded machine shows its invariant violations but no goodput.
func TestTableLeavesOutFalseFigures(t *testing.T) {
	d := Xaalis()
	set := parse(t, d)
	trial := func(skipped int64) Trial {
		return Trial{
			Deployment: d,
			Calls:      d.calls(set),
			Report:     report(t, skipped),
			Verdict: Verdict{
				DoubleRuns: 7,
			},
		}
	}
	for skipped, want := range map[int64]bool{0: false, 1: true} {
		var b strings.Builder
		result := Result{
			Deployments: [][]Trial{
				{
					trial(skipped),
				},
			},
		}
		if err := result.WriteTable(&b); err != nil {
			t.Fatal(err)
		}
		text := b.String()
		if strings.Contains(text, "(machine)") != want || strings.Contains(text, "100.0%  4/s") == want || len(result.Warnings(1)) > 0 != want {
			t.Errorf("with %d calls skipped the table is\n%s", skipped, text)
		}
		if !strings.Contains(text, "double runs") || !strings.Contains(text, "7") {
			t.Errorf("the table lacks the double runs:\n%s", text)
		}
	}
}
