package procs

import (
	"slices"
	"testing"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/client"
)

func run(started, completed int) fakes.Run {
	return fakes.Run{
		Started:   started,
		Completed: completed,
	}
}

// TestCheck plants one broken promise at a time.
func TestCheck(t *testing.T) {
	whole := Result{
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
	sight := StatusSample{
		Name:        "front0-1",
		Incarnation: 1,
		Ready:       true,
		Version:     3,
	}
	tests := map[string]struct {
		plant func(e *Evidence)
		want  []ViolationKind
	}{
		"sound": {
			plant: func(*Evidence) {},
		},
		"ran twice": {
			plant: func(e *Evidence) { e.Runs["k"] = run(2, 1) },
			want:  []ViolationKind{DoubleRun},
		},
		"told not-run, ran": {
			plant: func(e *Evidence) { e.Results[0].Outcome = client.NotRun },
			want:  []ViolationKind{FalseNotRun},
		},
		"told done, not run": {
			plant: func(e *Evidence) { delete(e.Runs, "k") },
			want:  []ViolationKind{FalseDone},
		},
		"told done, not completed": {
			plant: func(e *Evidence) { e.Runs["k"] = run(1, 0) },
			want:  []ViolationKind{FalseDone},
		},
		"answer of another": {
			plant: func(e *Evidence) {
				e.Results[0].Fault = faultOf("front0/post", "k", []byte(`{"path":"front0/post","key":"j"}`))
			},
			want: []ViolationKind{WrongAnswer},
		},
		"deeper answer missing": {
			plant: func(e *Evidence) {
				e.Results[0].Fault = faultOf("front0/post", "k", []byte(`{"path":"front0/post","key":"k"}`))
			},
			want: []ViolationKind{WrongAnswer},
		},
		"crossed at a target": {
			plant: func(e *Evidence) { e.Crossed = 1 },
			want:  []ViolationKind{WrongAnswer},
		},
		"two answers": {
			plant: func(e *Evidence) {
				second := e.Results[0]
				second.Body = "other"
				e.Results = append(e.Results, second)
			},
			want: []ViolationKind{TwoAnswers},
		},
		"reverted": {
			plant: func(e *Evidence) {
				e.Samples[1].Version = 2
			},
			want: []ViolationKind{Reverted},
		},
		"reverted over a restart": {
			plant: func(e *Evidence) {
				e.Samples[1].Incarnation = 2
				e.Samples[1].Version = 2
			},
			want: []ViolationKind{Reverted},
		},
		"learns anew before it serves": {
			plant: func(e *Evidence) {
				e.Samples[1].Incarnation = 2
				e.Samples[1].Ready = false
				e.Samples[1].Version = 0
			},
		},
		"unknown during a stop": {
			plant: func(e *Evidence) { e.Results[0].Outcome = client.Unknown },
			want:  []ViolationKind{InterruptedByStop},
		},
		"failed at the target during a stop": {
			plant: func(e *Evidence) { e.Results[0].Status = 502 },
			want:  []ViolationKind{InterruptedByStop},
		},
		"unknown beside a stop": {
			plant: func(e *Evidence) {
				e.Results[0].Outcome = client.Unknown
				e.Stops[0].Interval.Start = 201
				e.Stops[0].Interval.End = 300
			},
		},
		"unknown from an earlier fault": {
			plant: func(e *Evidence) {
				e.Results[0].Outcome = client.Unknown
				e.Stops[0].HealthySince = 120
			},
		},
		"late work": {
			plant: func(e *Evidence) { e.LeavingChecks[0].NewRequests = 1 },
			want:  []ViolationKind{WorkWhileLeaving},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := Evidence{
				Results: []Result{whole},
				Runs: map[string]fakes.Run{
					"k": run(1, 1),
				},
				Samples: []StatusSample{sight, sight},
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
			tt.plant(&e)
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
		t.Error("a short line was read")
	}
}
