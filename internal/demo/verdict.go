package demo

import (
	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Runs counts how often targets started each request, by "service/operation"
// and idempotency key.
type Runs map[string]map[string]int

// Verdict counts the violations of the invariants of a trial.
type Verdict struct {
	// DoubleRuns counts non-idempotent requests that ran more than once.
	DoubleRuns int `json:"double"`
	// FalseNotRun counts requests that ran although every try was answered with
	// the outcome not-run.
	FalseNotRun int `json:"false"`
	// Crossed counts answers that belonged to another request.
	Crossed int `json:"crossed"`
	// Partial counts incomplete answers.
	Partial int `json:"partial"`
	// Examples names some of the requests behind the counts.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples bounds the examples of a verdict.
const maxExamples = 5

// InvariantsHold reports whether there were no violations.
func (v Verdict) InvariantsHold() bool {
	return v.DoubleRuns+v.FalseNotRun+v.Crossed+v.Partial == 0
}

// judge compares the results of the callers' calls with the runs at the targets.
// The parameter crossedAtTargets is the number of crossed answers that targets
// got to their downstream calls.
func judge(set *rules.Set, results []load.CallResult, runs Runs, crossedAtTargets int) Verdict {
	v := Verdict{
		Crossed: crossedAtTargets,
	}
	for path, keys := range runs {
		op, ok := set.Op(path)
		if !ok || !op.AtMostOnce {
			continue
		}
		for key, n := range keys {
			if n > 1 {
				v.DoubleRuns++
				v.addExample("double", path, key)
			}
		}
	}
	for _, c := range results {
		v.check(c, runs)
	}
	return v
}

// check adds the violations of one call to v.
func (v *Verdict) check(result load.CallResult, runs Runs) {
	if result.IsNotRun() && runs[result.Path][result.Key] > 0 {
		v.FalseNotRun++
		v.addExample("false not-run", result.Path, result.Key)
	}
	switch result.Fault {
	case load.Crossed:
		v.Crossed++
		v.addExample("crossed", result.Path, result.Key)
	case load.Partial:
		v.Partial++
		v.addExample("partial", result.Path, result.Key)
	}
}

func (v *Verdict) addExample(violation, path, key string) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, violation+": "+path+" "+key)
	}
}
