package demo

import (
	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Runs counts how often targets started each request, by "service/operation"
// and key.
type Runs map[string]map[string]int

// Verdict counts what must never happen. An example names one request for
// each count that is not 0.
type Verdict struct {
	// DoubleRuns counts requests that may not be repeated and ran more than once.
	DoubleRuns int `json:"double"`
	// FalseNotRun counts requests that ran although the caller was told, for each
	// try, that they had not.
	FalseNotRun int `json:"false"`
	// Crossed counts answers that belonged to another request.
	Crossed int `json:"crossed"`
	// Partial counts answers with a part missing.
	Partial int `json:"partial"`
	// Examples name requests at fault.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples bounds the requests that a verdict names.
const maxExamples = 5

// InvariantsHold reports whether nothing happened that must not.
func (v Verdict) InvariantsHold() bool {
	return v.DoubleRuns+v.FalseNotRun+v.Crossed+v.Partial == 0
}

// judge compares what callers were told with what the targets saw.
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

// check checks one caller's claim.
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
