package procs

import (
	"slices"
	"testing"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/client"
)

func runCounts(started, completed int) fakes.Run {
	return fakes.Run{
		Started:   started,
		Completed: completed,
	}
}

// TestCheck checks that each kind of violation is found, by injecting one at a
// time into evidence without any, and that similar legal evidence passes.
func TestCheck(t *testing.T) {
	complete := Result{
		Key:        "k",
		Path:       "front0/post",
		AtMostOnce: true,
		Outcome:    client.Done,
		Status:     statusOK,
		Body:       "body",
		Interval: Interval{
			Start: 100,
			End:   200,
		},
	}
	sample := StatusSample{
		Name:        "front0-1",
		Incarnation: 1,
		Ready:       true,
		Version:     3,
	}
	tests := map[string]struct {
		inject func(e *Evidence)
		want   []ViolationKind
	}{
		"sound": {
			inject: func(*Evidence) {},
		},
		"ran twice": {
			inject: func(e *Evidence) { e.Runs["k"] = runCounts(2, 1) },
			want:   []ViolationKind{DoubleRun},
		},
		"outcome not-run, but ran": {
			inject: func(e *Evidence) { e.Results[0].Outcome = client.NotRun },
			want:   []ViolationKind{FalseNotRun},
		},
		"outcome done, but not run": {
			inject: func(e *Evidence) { delete(e.Runs, "k") },
			want:   []ViolationKind{FalseDone},
		},
		"outcome done, but not completed": {
			inject: func(e *Evidence) { e.Runs["k"] = runCounts(1, 0) },
			want:   []ViolationKind{FalseDone},
		},
		"answer to another request": {
			inject: func(e *Evidence) {
				e.Results[0].Fault = answerFault("front0/post", "k", []byte(`{"path":"front0/post","key":"j"}`))
			},
			want: []ViolationKind{WrongAnswer},
		},
		"downstream answer missing": {
			inject: func(e *Evidence) {
				e.Results[0].Fault = answerFault("front0/post", "k", []byte(`{"path":"front0/post","key":"k"}`))
			},
			want: []ViolationKind{WrongAnswer},
		},
		"crossed answer at a target": {
			inject: func(e *Evidence) { e.Crossed = 1 },
			want:   []ViolationKind{WrongAnswer},
		},
		"two answers": {
			inject: func(e *Evidence) {
				second := e.Results[0]
				second.Body = "other"
				e.Results = append(e.Results, second)
			},
			want: []ViolationKind{TwoAnswers},
		},
		"reverted": {
			inject: func(e *Evidence) {
				e.Samples[1].Version = 2
			},
			want: []ViolationKind{Reverted},
		},
		"reverted by a restart": {
			inject: func(e *Evidence) {
				e.Samples[1].Incarnation = 2
				e.Samples[1].Version = 2
			},
			want: []ViolationKind{Reverted},
		},
		"older version before a restarted daemon is ready": {
			inject: func(e *Evidence) {
				e.Samples[1].Incarnation = 2
				e.Samples[1].Ready = false
				e.Samples[1].Version = 0
			},
		},
		"unknown outcome during a stop": {
			inject: func(e *Evidence) { e.Results[0].Outcome = client.Unknown },
			want:   []ViolationKind{InterruptedByStop},
		},
		"target failure during a stop": {
			inject: func(e *Evidence) { e.Results[0].Status = 502 },
			want:   []ViolationKind{InterruptedByStop},
		},
		"unknown outcome outside a stop": {
			inject: func(e *Evidence) {
				e.Results[0].Outcome = client.Unknown
				e.Stops[0].Interval.Start = 201
				e.Stops[0].Interval.End = 300
			},
		},
		"unknown outcome of a request before the fleet was healthy": {
			inject: func(e *Evidence) {
				e.Results[0].Outcome = client.Unknown
				e.Stops[0].HealthySince = 120
			},
		},
		"new requests while leaving": {
			inject: func(e *Evidence) { e.LeavingChecks[0].NewRequests = 1 },
			want:   []ViolationKind{WorkWhileLeaving},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := Evidence{
				Results: []Result{complete},
				Runs: map[string]fakes.Run{
					"k": runCounts(1, 1),
				},
				Samples: []StatusSample{sample, sample},
				Stops: []Stop{
					{
						Name: "front0-1",
						Interval: Interval{
							Start: 150,
							End:   300,
						},
					},
				},
				LeavingChecks: []LeavingCheck{
					{
						Target: "front0-1",
					},
				},
			}
			tt.inject(&e)
			found := Check(e)
			got := make([]ViolationKind, 0, len(found))
			for _, v := range found {
				got = append(got, v.Kind)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("found %v, want %v", got, tt.want)
			}
		})
	}
}

// TestParseStat checks that a program name with spaces and brackets does not shift
// the fields.
func TestParseStat(t *testing.T) {
	const text = "42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 9 0 77 1000 300 18446744073709551615"
	got, err := parseStat([]byte(text), 4096)
	want := Usage{
		CPU:    3000,
		Memory: 300 * 4096,
	}
	if err != nil || got != want {
		t.Errorf("parseStat = %+v, %v, want %+v", got, err, want)
	}
	if _, err := parseStat([]byte("42 (a) S 1"), 4096); err == nil {
		t.Error("parseStat accepted a line with missing fields")
	}
}
