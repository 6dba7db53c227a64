package faults

import (
	"runtime"
	"sync"
	"testing"

	"siskinswitch.example/siskin/internal/state/guard"
)

// schedules is the number of seeded schedules that must keep every promise.
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
		t.Errorf("a promise was broken: %s", r.Evidence)
	}
	f := r.Faults
	for name, n := range map[string]int{
		"loss":             f.Lost,
		"duplicate":        f.Doubled,
		"reorder":          f.Slow,
		"late message":     f.Late,
		"partition":        f.Partitioned,
		"pause":            f.Pauses,
		"crash":            f.Crashes,
		"replaced alive":   f.Zombies,
		"planned stop":     f.Stops,
		"target cut":       f.Cut,
		"target shed":      f.Shed,
		"change of rules":  f.Changes,
		"lying ticket":     f.Naps,
		"running twin":     r.Verdicts[guard.Running],
		"replayed answer":  r.Verdicts[guard.Done],
		"full table":       r.Reasons[guard.Full],
		"stale ticket":     r.Reasons[guard.Stale],
		"stopping guard":   r.Reasons[guard.Closed],
		"fence":            r.Reasons[guard.Fenced],
		"large answer":     r.Reasons[guard.AnswerTooLarge],
		"forgotten":        r.Reasons[guard.Forgotten],
		"old incarnation":  r.Reasons[guard.OtherIncarnation],
		"answer of heirs":  r.SuccessorVerdicts,
		"hand-over, whole": r.Handovers,
	} {
		if n < schedules/10 {
			t.Errorf("%s happened %d times in %d schedules, too rarely to prove anything", name, n, schedules)
		}
	}
}

// Without faults every request completes, and nobody is left in doubt.
func TestCalm(t *testing.T) {
	const n = 500
	r := sweep(n, Options{Calm: true})
	if !r.IsSound() || r.Done != n*callerCount || r.Runs != r.Done {
		t.Errorf("calm schedules: %s\n%s", r.String(), r.Evidence)
	}
}

// A seed must give the same schedule each time, or a failure could not be
// looked into.
func TestSeedsRepeat(t *testing.T) {
	for seed := range uint64(300) {
		if a, b := Run(seed, Options{}), Run(seed, Options{}); a != b {
			t.Fatalf("seed %d: two runs differ:\n%s\n%s", seed, a.String(), b.String())
		}
	}
}

// Every planted fault must be noticed, as the violation that it leads to.
func TestPlantsAreNoticed(t *testing.T) {
	tests := map[string]struct {
		plant Defect
		want  Violation
	}{
		"query answered without a fence": {
			plant: NoFence,
			want:  FalseNotRun,
		},
		"tombstone forgotten": {
			plant: ForgetRefusals,
			want:  FalseNotRun,
		},
		"table forgets when full": {
			plant: ForgetWhenFull,
			want:  DoubleRun,
		},
		"sent without asking whether it may start": {
			plant: SendUnchecked,
			want:  FalseNotRun,
		},
		"sent again after a cut": {
			plant: ResendInterrupted,
			want:  DoubleRun,
		},
		"started and said not to": {
			plant: RefuseStarted,
			want:  FalseNotRun,
		},
		"no check of the incarnation": {
			plant: AnyIncarnation,
			want:  DoubleRun,
		},
		"no check of the generation": {
			plant: AnyGeneration,
			want:  DoubleRun,
		},
		"ticket ignored when the rules change": {
			plant: IgnoreUnmarked,
			want:  DoubleRun,
		},
		"hand-over without records": {
			plant: EmptyHandover,
			want:  FalseNotRun,
		},
		"hand-over of an open table": {
			plant: OpenHandover,
			want:  FalseNotRun,
		},
		"part of a hand-over taken for the whole": {
			plant: PartialHandover,
			want:  FalseNotRun,
		},
		"not-run guessed from silence": {
			plant: GuessNotRun,
			want:  FalseNotRun,
		},
		"moved without proof": {
			plant: RetryUnknown,
			want:  DoubleRun,
		},
		"answer cut short": {
			plant: TruncateAnswers,
			want:  WrongAnswer,
		},
		"answers crossed": {
			plant: SwapAnswers,
			want:  WrongAnswer,
		},
		"answers forgotten": {
			plant: ForgetAnswers,
			want:  NeedlessUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := sweep(schedules/20, Options{Defect: tt.plant})
			if r.Violations[tt.want] == 0 {
				t.Errorf("no %s in %d schedules: %v", tt.want, r.Schedules, r.Violations)
			}
			t.Logf("%v: %s", r.Violations, r.Evidence)
		})
	}
}
