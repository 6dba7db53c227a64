package faults

import (
	"runtime"
	"sync"
	"testing"

	"siskinswitch.example/siskin/internal/state/guard"
)

// schedules is the number of seeded schedules that must keep every guarantee.
const schedules = 10_000

// sweep runs the schedules of many seeds on all cores and adds up their
// reports.
func sweep(n int, opts Options) Report {
	workers := runtime.GOMAXPROCS(0)
	reports := make([]Report, workers)
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			for seed := i; seed < n; seed += workers {
				reports[i].Add(Run(uint64(seed), opts))
			}
		})
	}
	wg.Wait()
	var total Report
	for _, r := range reports {
		total.Add(r)
	}
	return total
}

func TestSchedules(t *testing.T) {
	r := sweep(schedules, Options{})
	t.Logf("%s", r.String())
	if !r.IsSound() {
		t.Errorf("a guarantee was broken: %s", r.Evidence)
	}
	f := r.Faults
	for name, n := range map[string]int{
		"loss":              f.Lost,
		"duplicate":         f.Doubled,
		"reorder":           f.Slow,
		"late message":      f.Late,
		"partition":         f.Partitioned,
		"pause":             f.Pauses,
		"crash":             f.Crashes,
		"replaced alive":    f.Zombies,
		"planned stop":      f.Stops,
		"target reset":      f.Cut,
		"target shed":       f.Shed,
		"change of rules":   f.Changes,
		"idle ticket":       f.Naps,
		"duplicate running": r.Verdicts[guard.Running],
		"replayed answer":   r.Verdicts[guard.Done],
		"full table":        r.Reasons[guard.Full],
		"stale ticket":      r.Reasons[guard.Stale],
		"stopping guard":    r.Reasons[guard.Closed],
		"fence":             r.Reasons[guard.Fenced],
		"large answer":      r.Reasons[guard.AnswerTooLarge],
		"forgotten":         r.Reasons[guard.Forgotten],
		"old incarnation":   r.Reasons[guard.OtherIncarnation],
		"successor verdict": r.SuccessorVerdicts,
		"whole handover":    r.Handovers,
	} {
		if n < schedules/10 {
			t.Errorf("%s happened %d times in %d schedules, too rarely to prove anything", name, n, schedules)
		}
	}
}

// Without faults, every request must run once and be answered.
func TestCalm(t *testing.T) {
	const n = 500
	r := sweep(n, Options{Calm: true})
	if !r.IsSound() || r.Done != n*callerCount || r.Runs != r.Done {
		t.Errorf("calm schedules: %s\n%s", r.String(), r.Evidence)
	}
}

// A seed must give the same schedule each time; otherwise a failure could not
// be reproduced.
func TestSeedsRepeat(t *testing.T) {
	for seed := range uint64(300) {
		if a, b := Run(seed, Options{}), Run(seed, Options{}); a != b {
			t.Fatalf("seed %d: two runs differ:\n%s\n%s", seed, a.String(), b.String())
		}
	}
}

// The checker must detect every injected defect as the violation that the defect
// causes.
func TestDefectsAreDetected(t *testing.T) {
	tests := map[string]struct {
		defect Defect
		want   Violation
	}{
		"query answered without a fence": {
			defect: NoFence,
			want:   FalseNotRun,
		},
		"tombstone forgotten": {
			defect: ForgetRefusals,
			want:   FalseNotRun,
		},
		"table forgets when full": {
			defect: ForgetWhenFull,
			want:   DoubleRun,
		},
		"sent without asking whether it may start": {
			defect: SendUnchecked,
			want:   FalseNotRun,
		},
		"sent again after an interruption": {
			defect: ResendInterrupted,
			want:   DoubleRun,
		},
		"not-run reported of a started request": {
			defect: RefuseStarted,
			want:   FalseNotRun,
		},
		"no check of the incarnation": {
			defect: AnyIncarnation,
			want:   DoubleRun,
		},
		"no check of the generation": {
			defect: AnyGeneration,
			want:   DoubleRun,
		},
		"ticket ignored when the rules change": {
			defect: IgnoreUnmarked,
			want:   DoubleRun,
		},
		"handover without records": {
			defect: EmptyHandover,
			want:   FalseNotRun,
		},
		"handover of an open table": {
			defect: OpenHandover,
			want:   FalseNotRun,
		},
		"part of a handover taken for the whole": {
			defect: PartialHandover,
			want:   FalseNotRun,
		},
		"not-run guessed from silence": {
			defect: GuessNotRun,
			want:   FalseNotRun,
		},
		"new ticket after an unknown outcome": {
			defect: RetryUnknown,
			want:   DoubleRun,
		},
		"answer truncated": {
			defect: TruncateAnswers,
			want:   WrongAnswer,
		},
		"answers swapped": {
			defect: SwapAnswers,
			want:   WrongAnswer,
		},
		"answers forgotten": {
			defect: ForgetAnswers,
			want:   NeedlessUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := sweep(schedules/20, Options{Defect: tt.defect})
			if r.Violations[tt.want] == 0 {
				t.Errorf("no %s in %d schedules: %v", tt.want, r.Schedules, r.Violations)
			}
			t.Logf("%v: %s", r.Violations, r.Evidence)
		})
	}
}
