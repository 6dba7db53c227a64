package ctl

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/lint"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/platform"
)

// recordChecker checks configurations in the form in which the platform's store holds
// them.
type recordChecker struct {
	// against is the file with the version in force, empty if there is none.
	against string
}

// check checks one file.
func (c *recordChecker) check(env Env, op, file string) checkResult {
	d, result := readDraft(env, op, file)
	if d == nil {
		return result
	}
	report := lint.Check(d)
	result.Problems = append(result.Problems, report.Errors...)
	result.Warnings = report.Warnings
	if c.against != "" {
		c.compare(env, op, d, &result)
	}
	result.Good = len(result.Problems) == 0
	result.summary = fmt.Sprintf("version %d, %s, %s", d.Version, pluralize(len(d.Services), "service"),
		pluralize(len(result.Warnings), "warning"))
	if c.against != "" {
		result.summary += ", " + pluralize(len(result.Changes), "change")
	}
	return result
}

// compare adds to a result what the draft changes over the version in force.
func (c *recordChecker) compare(env Env, op string, d *lint.Draft, result *checkResult) {
	before, inForce := readDraft(env, op, c.against)
	for _, p := range inForce.Problems {
		result.Problems = append(result.Problems, rules.Problem{
			Path: c.against,
			Text: p.String(),
		})
	}
	if before == nil {
		return
	}
	result.Problems = append(result.Problems, lint.CheckVersion(before, d)...)
	result.Changes = lint.Compare(before, d)
}

// readDraft reads a configuration. The draft is nil if the file has none.
func readDraft(env Env, op, file string) (*lint.Draft, checkResult) {
	data, err := env.readDocument(op, file)
	if err != nil {
		return nil, refusedResult(file, 0, causeText(err))
	}
	d, problems := platform.DecodeDraft(data)
	result := checkResult{
		File:     file,
		Bytes:    len(data),
		Problems: problems,
	}
	if d == nil {
		return nil, result
	}
	result.Version = d.Version
	result.Services = len(d.Services)
	if _, err := platform.DecodeConfig(data); err != nil && len(problems) == 0 && len(lint.Check(d).Errors) == 0 {
		// What daemons refuse is never called good.
		result.Problems = append(result.Problems, rules.Problem{
			Text: err.Error(),
		})
	}
	return d, result
}

// writeRecordFindings writes the changes and the warnings of a result.
func writeRecordFindings(b *strings.Builder, env Env, result checkResult) {
	for _, change := range result.Changes {
		mark := "changes"
		if change.Warn {
			mark = env.red("CHANGES")
		}
		fmt.Fprintf(b, "%s: %s: %s\n", result.File, mark, rules.Problem{
			Path: change.Path,
			Text: change.Text,
		})
	}
	for _, p := range result.Warnings {
		fmt.Fprintf(b, "%s: %s: %s\n", result.File, env.red("WARNING"), p)
	}
}
