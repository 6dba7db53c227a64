package guard

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"siskinswitch.example/siskin/pkg/clock"
)

// action is one kind of call to a table about one request id.
type action uint8

const (
	doBegin action = iota
	doQuery
	doStart
	doRefuse
	doFinish
	doFail
	doRefuseStarted
	// doBeginForgotten and doBeginElsewhere are arrivals with a stamp of a forgotten
	// generation and of another incarnation. Their sender renews the stamp and sends
	// the same attempt again, which is doBegin.
	doBeginForgotten
	doBeginElsewhere

	actions
)

type input struct {
	action action
	id     string
	body   string
}

// output is the result of a call: a status and an answer body for Begin and
// Query, for the other calls whether they took effect.
type output struct {
	status Status
	body   string
	ok     bool
}

// sequentialEntry is the sequential specification of a table for one request
// id.
type sequentialEntry struct {
	state state
	body  string
}

func (s sequentialEntry) verdict() output {
	switch s.state {
	case held, started:
		return output{status: Running}
	case done:
		return output{
			status: Done,
			body:   s.body,
		}
	case tombstone:
		return output{status: NotRun}
	}
	return output{status: Unknown}
}

// transition returns the entry in state to if it is in state from, and whether
// it was.
func (s sequentialEntry) transition(from, to state, body string) (sequentialEntry, output) {
	if s.state != from {
		return s, output{}
	}
	return sequentialEntry{
		state: to,
		body:  body,
	}, output{ok: true}
}

func (s sequentialEntry) step(in input) (sequentialEntry, output) {
	switch in.action {
	case doBegin:
		if s.state == 0 {
			return sequentialEntry{state: held}, output{status: Fresh}
		}
		return s, s.verdict()
	case doBeginForgotten:
		if s.state == 0 {
			return s, output{status: Unknown}
		}
		return s, s.verdict()
	case doBeginElsewhere:
		return s, output{status: Unknown}
	case doQuery:
		if s.state == 0 {
			return sequentialEntry{state: tombstone}, output{status: NotRun}
		}
		return s, s.verdict()
	case doStart:
		return s.transition(held, started, "")
	case doRefuse:
		return s.transition(held, tombstone, "")
	case doFinish:
		return s.transition(started, done, in.body)
	case doFail:
		next, _ := s.transition(started, interrupted, "")
		return next, output{}
	}
	return s.transition(started, tombstone, "")
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range history {
			id := op.Input.(input).id
			byID[id] = append(byID[id], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byID))
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return sequentialEntry{} },
	Step: func(s, in, out any) (bool, any) {
		next, want := s.(sequentialEntry).step(in.(input))
		return want == out.(output), next
	},
}

func call(g *Table, in input) output {
	var v Verdict
	present := newTicket(in.id, g.Stats().Generation)
	switch in.action {
	case doBegin:
		v = g.Begin(0, present, 0)
	case doBeginForgotten:
		v = g.Begin(0, newTicket(in.id, 1), 0)
	case doBeginElsewhere:
		present.Incarnation++
		v = g.Begin(0, present, 0)
	case doQuery:
		v = g.Query(0, present)
	case doStart:
		return output{ok: g.Start(in.id)}
	case doRefuse:
		return output{ok: g.Refuse(0, in.id)}
	case doFinish:
		return output{ok: g.Finish(0, in.id, answer(in.body))}
	case doFail:
		g.Fail(0, in.id)
		return output{}
	case doRefuseStarted:
		return output{ok: g.RefuseStarted(0, in.id)}
	}
	return output{
		status: v.Status,
		body:   string(v.Answer.Body),
	}
}

// record calls a table from several goroutines, each with its own sequence of
// calls derived from seed, and returns the history.
func record(g *Table, seed uint64) []porcupine.Operation {
	const (
		workers = 6
		calls   = 12
	)
	ids := []string{"a", "b", "c"}
	start := time.Now()
	histories := make([][]porcupine.Operation, workers)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			x := seed*workers + uint64(w) + 1
			for range calls {
				x = x*6364136223846793005 + 1442695040888963407
				in := input{
					action: action(x >> 33 % uint64(actions)),
					id:     ids[x>>40%uint64(len(ids))],
					body:   string(rune('A' + w)),
				}
				begun := time.Since(start)
				out := call(g, in)
				histories[w] = append(histories[w], porcupine.Operation{
					ClientId: w,
					Input:    in,
					Call:     begun.Nanoseconds(),
					Output:   out,
					Return:   time.Since(start).Nanoseconds(),
				})
			}
		})
	}
	wg.Wait()
	var all []porcupine.Operation
	for _, h := range histories {
		all = append(all, h...)
	}
	return all
}

func newDefaultTable() *Table {
	return New(Config{
		Window:      window,
		Incarnation: ownIncarnation,
	})
}

// newAgedTable returns a table that has forgotten its first generation.
func newAgedTable() *Table {
	g := newDefaultTable()
	g.Begin(0, newTicket("old", 1), 0)
	g.Start("old")
	g.Finish(0, "old", answer("A"))
	for i := range clock.Milli(2 * generationsPerWindow) {
		g.Sweep(i * window)
	}
	return g
}

// Arrivals whose stamp is no longer good are not started, and the same attempt with a
// renewed stamp runs once.
func TestTableIsLinearizable(t *testing.T) {
	for seed := range uint64(300) {
		if !porcupine.CheckOperations(model, record(newAgedTable(), seed)) {
			t.Fatalf("history of seed %d is not linearizable", seed)
		}
	}
}

// The linearizability check must reject histories that break the guarantees of
// a table; otherwise its passing shows nothing.
func TestModelNoticesBrokenHistories(t *testing.T) {
	tests := map[string][]porcupine.Operation{
		"two arrivals get Fresh": sequence(
			input{action: doBegin}, output{status: Fresh},
			input{action: doBegin}, output{status: Fresh},
		),
		"Fresh after NotRun": sequence(
			input{action: doQuery}, output{status: NotRun},
			input{action: doBegin}, output{status: Fresh},
		),
		"started with a stamp that is no longer good": sequence(
			input{action: doBeginForgotten}, output{status: Fresh},
		),
		"Fresh again with a renewed stamp": sequence(
			input{action: doBegin}, output{status: Fresh},
			input{action: doBeginForgotten}, output{status: Running},
			input{action: doBegin}, output{status: Fresh},
		),
		"refused after it was started": sequence(
			input{action: doBegin}, output{status: Fresh},
			input{action: doStart}, output{ok: true},
			input{action: doRefuse}, output{ok: true},
		),
		"answer differs from the first": sequence(
			input{action: doBegin}, output{status: Fresh},
			input{action: doStart}, output{ok: true},
			input{
				action: doFinish,
				body:   "A",
			}, output{ok: true},
			input{action: doBegin}, output{
				status: Done,
				body:   "B",
			},
		),
	}
	for name, history := range tests {
		t.Run(name, func(t *testing.T) {
			if porcupine.CheckOperations(model, history) {
				t.Error("the history was accepted")
			}
		})
	}
}

// sequence makes a sequential history from pairs of an input and its output.
func sequence(steps ...any) []porcupine.Operation {
	var history []porcupine.Operation
	for i := 0; i < len(steps); i += 2 {
		history = append(history, porcupine.Operation{
			Input:  steps[i],
			Call:   int64(2 * i),
			Output: steps[i+1],
			Return: int64(2*i + 1),
		})
	}
	return history
}
