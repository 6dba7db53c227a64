package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

func testPlan(seed uint64) Plan {
	return Plan{
		Name: "k",
		Seed: seed,
		Phases: []Phase{
			{
				Name:   "calm",
				Length: 20 * clock.Second,
				Rate:   200,
			},
			{
				Name:   "crest",
				Length: 10 * clock.Second,
				Rate:   800,
			},
		},
		Calls: []Call{
			{
				Path:   "shop/pay",
				Weight: 1,
			},
			{
				Path:   "shop/read",
				Weight: 3,
			},
		},
	}
}

func drawAll(p Plan) []Arrival {
	var all []Arrival
	for arrivals := p.Arrivals(); ; {
		a, ok := arrivals.Next()
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

// TestArrivals checks the properties of a Poisson process: counts that match
// the rate of each phase, gaps whose standard deviation equals their mean, and
// calls in proportion to their weights. The bounds are six standard errors wide
// and the seeds are fixed.
func TestArrivals(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		plan := testPlan(seed)
		all := drawAll(plan)
		counts := make([]float64, 2)
		gaps := make([][]float64, 2)
		pays := 0.0
		for i, a := range all {
			counts[a.Phase]++
			if inCalm := a.At < plan.Phases[0].Length.Duration(); inCalm != (a.Phase == 0) {
				t.Fatalf("seed %d: arrival at %v is in phase %d", seed, a.At, a.Phase)
			}
			if a.Call == 0 {
				pays++
			}
			if i > 0 && all[i-1].Phase == a.Phase {
				gaps[a.Phase] = append(gaps[a.Phase], (a.At - all[i-1].At).Seconds())
			}
		}
		for i, phase := range plan.Phases {
			want := phase.Rate * phase.Length.Duration().Seconds()
			if math.Abs(counts[i]-want) > 6*math.Sqrt(want) {
				t.Errorf("seed %d: %s has %.0f arrivals, want about %.0f", seed, phase.Name, counts[i], want)
			}
			if v := variationCoefficient(gaps[i]); math.Abs(v-1) > 6/math.Sqrt(counts[i])*math.Sqrt2 {
				t.Errorf("seed %d: gaps in %s vary by %.3f of their mean, want 1", seed, phase.Name, v)
			}
		}
		n := float64(len(all))
		if math.Abs(pays/n-0.25) > 6*math.Sqrt(0.25*0.75/n) {
			t.Errorf("seed %d: %.3f of the calls are payments, want 0.25", seed, pays/n)
		}
	}
}

func variationCoefficient(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	n := float64(len(values))
	mean := sum / n
	return math.Sqrt(squares/n-mean*mean) / mean
}

func TestArrivalsRepeat(t *testing.T) {
	first, second, other := drawAll(testPlan(7)), drawAll(testPlan(7)), drawAll(testPlan(8))
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Error("the same seed drew other arrivals")
	}
	if fmt.Sprint(first) == fmt.Sprint(other) {
		t.Error("another seed drew the same arrivals")
	}
	keys := make(map[string]bool)
	for _, a := range first {
		keys[a.Key] = true
	}
	if len(keys) != len(first) {
		t.Errorf("%d keys for %d arrivals", len(keys), len(first))
	}
}

func TestPlanRefused(t *testing.T) {
	tests := map[string]func(p *Plan){
		"no phases": func(p *Plan) { p.Phases = nil },
		"no calls":  func(p *Plan) { p.Calls = nil },
		"no weight": func(p *Plan) { p.Calls = p.Calls[:1]; p.Calls[0].Weight = 0 },
		"no length": func(p *Plan) { p.Phases[1].Length = 0 },
		"no rate":   func(p *Plan) { p.Phases[1].Rate = 0 },
		"zero plan": func(p *Plan) { *p = Plan{} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			plan := testPlan(1)
			change(&plan)
			_, err := Run(context.Background(), Config{
				Plan:    plan,
				Entries: []string{"127.0.0.1:1"},
			})
			var e *Error
			if !errors.As(err, &e) || e.Kind != Unusable {
				t.Errorf("err = %v, want an Error of kind Unusable", err)
			}
		})
	}
}

func TestCallTree(t *testing.T) {
	tree := &CallTree{
		Path: "a/x",
		Calls: []*CallTree{
			{
				Path: "b/y",
			},
		},
	}
	tests := map[string]Fault{
		`{"path":"a/x","key":"k","calls":[{"path":"b/y","key":"k.0"}]}`:                            NoFault,
		`{"path":"a/x","key":"l","calls":[{"path":"b/y","key":"l.0"}]}`:                            Crossed,
		`{"path":"a/z","key":"k","calls":[{"path":"b/y","key":"k.0"}]}`:                            Crossed,
		`{"path":"a/x","key":"k","calls":[{"path":"b/y","key":"l.0"}]}`:                            Crossed,
		`{"path":"a/x","key":"k"}`:                                                                 Partial,
		`{"path":"a/x","key":"k","calls":[{"path":"b/y","key":"k.0"},{"path":"b/y","key":"k.1"}]}`: Partial,
		`{"path":"a/x","key":"k","calls":[{"pa`:                                                    Partial,
	}
	for body, want := range tests {
		if got := tree.check([]byte(body), "k"); got != want {
			t.Errorf("check(%s) = %v, want %v", body, got, want)
		}
	}
}

// script is a fake fleet whose n-th exchange gets the n-th step as its answer.
// The last step repeats.
type script struct {
	mu    sync.Mutex
	steps []step
	// seen lists the ticket of each exchange.
	seen []string
}

type step struct {
	status  int
	outcome string
	ticket  string
	// key is the key in the answer; empty means the request's own.
	key        string
	disconnect bool
}

func (s *script) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.seen), len(s.steps)-1)
	s.seen = append(s.seen, string(ctx.Request.Header.Peek(header.Ticket)))
	st := s.steps[n]
	if st.disconnect {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	key := string(ctx.Request.Header.Peek(header.IdempotencyKey))
	if st.key != "" {
		key = st.key
	}
	body, _ := json.Marshal(answer{
		Path: strings.TrimPrefix(string(ctx.Path()), "/"),
		Key:  key,
	})
	ctx.SetStatusCode(st.status)
	ctx.SetBody(body)
	ctx.Response.Header.Set(header.Outcome, st.outcome)
	ctx.Response.Header.Set(header.Ticket, st.ticket)
}

// steps are the named answers that scripts consist of.
var steps = map[string]step{
	"offer": {
		status:  428,
		outcome: header.NotRun,
		ticket:  "t1",
	},
	"refused": {
		status:  503,
		outcome: header.NotRun,
		ticket:  "t2",
	},
	"unknown": {
		status:  504,
		outcome: header.Unknown,
	},
	"done": {
		status:  200,
		outcome: header.Done,
	},
	"other": {
		status:  200,
		outcome: header.Done,
		key:     "other",
	},
	"cut": {
		disconnect: true,
	},
}

// TestTries checks which tickets a caller sends and which result it records for
// a call to a scripted fleet. The last step of a script repeats.
func TestTries(t *testing.T) {
	tests := map[string]string{
		"done":               "tickets [], 1 tries, 0 not-run, complete true, sound, reported not-run false",
		"offer done":         "tickets [ t1], 1 tries, 0 not-run, complete true, sound, reported not-run false",
		"offer refused done": "tickets [ t1 t2], 2 tries, 1 not-run, complete true, sound, reported not-run false",
		"offer unknown done": "tickets [ t1 t1], 2 tries, 0 not-run, complete true, sound, reported not-run false",
		"offer cut done":     "tickets [ t1 t1], 2 tries, 0 not-run, complete true, sound, reported not-run false",
		"refused":            "tickets [ t2 t2], 3 tries, 3 not-run, complete false, sound, reported not-run true",
		"refused unknown":    "tickets [ t2 t2], 3 tries, 1 not-run, complete false, sound, reported not-run false",
		"other":              "tickets [  ], 3 tries, 0 not-run, complete false, crossed, reported not-run false",
		"offer":              "tickets [ t1 t1 t1], 3 tries, 3 not-run, complete false, sound, reported not-run true",
	}
	for names, want := range tests {
		t.Run(names, func(t *testing.T) {
			s := &script{}
			for name := range strings.FieldsSeq(names) {
				s.steps = append(s.steps, steps[name])
			}
			c := s.run(t)
			got := fmt.Sprintf("tickets %v, %d tries, %d not-run, complete %v, %v, reported not-run %v", s.seen, c.Tries, c.NotRun, c.Succeeded, c.Fault, c.IsNotRun())
			if got != want {
				t.Errorf("got  %s\nwant %s", got, want)
			}
		})
	}
}

// run makes one call to s and returns its result.
func (s *script) run(t *testing.T) CallResult {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{
		Handler: s.handle,
	}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Shutdown() }()
	plan := testPlan(1)
	plan.Calls = []Call{
		{
			Path:       "shop/pay",
			Deadline:   10 * clock.Second,
			Importance: rules.Vital,
			Weight:     1,
			Tree: &CallTree{
				Path: "shop/pay",
			},
		},
	}
	report, err := Run(context.Background(), Config{
		Plan:        plan,
		Entries:     []string{ln.Addr().String()},
		MaxTries:    3,
		CallTimeout: clock.Minute,
		RetryDelay:  1,
		MaxCalls:    1,
	})
	if err != nil || len(report.Results) != 1 {
		t.Fatalf("Run = %d results, %v; want 1", len(report.Results), err)
	}
	if counts := report.Phases[0].ByImportance[rules.Vital]; counts.Offered != 1 || int(counts.Tries) != report.Results[0].Tries {
		t.Errorf("counts = %+v, result %+v", counts, report.Results[0])
	}
	return report.Results[0]
}
