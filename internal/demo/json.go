package demo

import (
	"encoding/json"
	"io"

	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// resultJSON is the JSON form of a [Result].
type resultJSON struct {
	InvariantsHold bool        `json:"sound"`
	Length         clock.Milli `json:"length"`
	Scale          float64     `json:"scale"`
	Seed           uint64      `json:"seed"`
	Trials         []trialJSON `json:"trials"`
}

type trialJSON struct {
	Deployment string      `json:"plant"`
	System     System      `json:"system"`
	Cores      float64     `json:"cores"`
	Useful     float64     `json:"useful"`
	Verdict    Verdict     `json:"verdict"`
	Phases     []phaseJSON `json:"phases"`
}

type phaseJSON struct {
	Name   string      `json:"name"`
	Length clock.Milli `json:"length"`
	// Valid is false if a lack of machine capacity determined the figures.
	Valid bool `json:"valid"`
	// Lag is the 99th percentile in microseconds.
	Lag        int64                  `json:"lag"`
	Skipped    int64                  `json:"skipped"`
	Classes    map[string]load.Counts `json:"classes"`
	P50        float64                `json:"p50"`
	P99        float64                `json:"p99"`
	Attempts   float64                `json:"attempts"`
	TargetWork Totals                 `json:"work"`
	Failures   map[string]int64       `json:"failures"`
}

// WriteJSON writes the result as JSON. Latencies are in milliseconds.
func (r Result) WriteJSON(w io.Writer) error {
	out := resultJSON{
		InvariantsHold: r.InvariantsHold(),
		Length:         r.Length,
		Scale:          r.Scale,
		Seed:           r.Seed,
	}
	for _, trials := range r.Deployments {
		for _, t := range trials {
			out.Trials = append(out.Trials, t.toJSON())
		}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func (t Trial) toJSON() trialJSON {
	out := trialJSON{
		Deployment: t.Deployment.Name,
		System:     t.System,
		Cores:      t.Cores,
		Useful:     t.usefulShare(),
		Verdict:    t.Verdict,
	}
	for i, p := range t.Report.Phases {
		phase := phaseJSON{
			Name:     p.Phase.Name,
			Length:   p.Phase.Length,
			Valid:    !t.IsMachineBound(i),
			Lag:      p.LagP99().Microseconds(),
			Skipped:  p.Skipped,
			Classes:  make(map[string]load.Counts),
			P50:      p.Percentile(50).Seconds() * 1000,
			P99:      p.Percentile(99).Seconds() * 1000,
			Attempts: t.arrivalsPerCall(i),
			Failures: p.Reasons,
		}
		if i < len(t.TargetWork) {
			phase.TargetWork = t.TargetWork[i]
		}
		for level, cell := range p.ByImportance {
			phase.Classes[rules.Importance(level).String()] = cell
		}
		out.Phases = append(out.Phases, phase)
	}
	return out
}
