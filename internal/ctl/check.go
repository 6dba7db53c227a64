package ctl

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/proxy"
	"siskinswitch.example/siskin/internal/state/lint"
	"siskinswitch.example/siskin/internal/state/rules"
)

const checkHelp = `siskinctl check [--json] [--kind document] [--against FILE] FILE...
  Checks documents and lists everything that is wrong with each, with its path.
  FILE may be - for the standard input. With --kind settings the files are the
  settings of a daemon on the users' platform, of which the first fault is
  listed. With --kind record they are the configuration as their store holds it:
  errors are what daemons refuse it for, warnings what they take but what is
  hardly meant, such as a route that can never match. With --against the changes
  over the record FILE, the version in force, are listed, too; a version that is
  not higher is an error. Keys are counted and never shown.
  Exit code 0 if all are good, warnings or not, 1 if one is refused, 2 for wrong
  usage.

  Example: siskinctl check examples/xaalis.json
  Example: siskinctl check --kind record --against inforce.json next.json
`

// Values of the flag --kind.
const (
	kindDocument = "document"
	kindSettings = "settings"
	kindRecord   = "record"
)

// checkResult is the report on one file.
type checkResult struct {
	File      string          `json:"file"`
	Good      bool            `json:"good"`
	Version   uint64          `json:"version,omitempty"`
	Digest    string          `json:"digest,omitempty"`
	Bytes     int             `json:"bytes"`
	Services  int             `json:"services,omitempty"`
	Instances int             `json:"instances,omitempty"`
	Leaving   int             `json:"leaving,omitempty"`
	Problems  []rules.Problem `json:"problems,omitempty"`
	// Warnings and Changes are those of a record; Changes over another one.
	Warnings []rules.Problem `json:"warnings,omitempty"`
	Changes  []lint.Change   `json:"changes,omitempty"`
	// summary describes the content of a valid file for the text report.
	summary string
}

func checkCommand(env Env) *Command {
	var asJSON bool
	var kind, against string
	return &Command{
		Keyword: "check",
		Short:   "check documents and list what is wrong with them",
		Help:    checkHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "report as JSON")
			f.StringVar(&kind, "kind", kindDocument, "what the files are: document, settings or record")
			f.StringVar(&against, "against", "", "the record in force, to list what records change over it")
		},
		Do: func(_ context.Context, args []string) error {
			return check(env, args, kind, against, asJSON)
		},
	}
}

// fileChecker checks one file.
type fileChecker func(env Env, op, file string) checkResult

func check(env Env, files []string, kind, against string, asJSON bool) error {
	const op = "check"
	records := recordChecker{
		against: against,
	}
	checkers := map[string]fileChecker{
		kindDocument: checkDocument,
		kindSettings: checkSettings,
		kindRecord:   records.check,
	}
	checkFile, ok := checkers[kind]
	if !ok {
		return usageError(op, "there is no kind %q", kind)
	}
	if against != "" && kind != kindRecord {
		return usageError(op, "--against is only for --kind %s", kindRecord)
	}
	if len(files) == 0 {
		return usageError(op, "no file is named")
	}
	results := make([]checkResult, 0, len(files))
	good := true
	for _, file := range files {
		result := checkFile(env, op, file)
		good = good && result.Good
		results = append(results, result)
	}
	if err := env.report(asJSON, results, resultsText(env, results)); err != nil {
		return err
	}
	if !good {
		return findingsError(op)
	}
	return nil
}

// refusedResult returns the result for a file with a single problem.
func refusedResult(file string, size int, text string) checkResult {
	return checkResult{
		File:  file,
		Bytes: size,
		Problems: []rules.Problem{
			{
				Text: text,
			},
		},
	}
}

// checkSettings checks a settings file of a daemon on the users' platform.
func checkSettings(env Env, op, file string) checkResult {
	data, err := env.readDocument(op, file)
	if err != nil {
		return refusedResult(file, 0, causeText(err))
	}
	if _, err := proxy.ReadSettings(bytes.NewReader(data)); err != nil {
		return refusedResult(file, len(data), err.Error())
	}
	return checkResult{
		File:    file,
		Good:    true,
		Bytes:   len(data),
		summary: "settings of a daemon",
	}
}

// checkDocument checks a configuration document. For a file that cannot be
// read, the read error is listed as its only problem.
func checkDocument(env Env, op, file string) checkResult {
	data, err := env.readDocument(op, file)
	if err != nil {
		return refusedResult(file, 0, causeText(err))
	}
	set, err := config.Parse(data)
	if err != nil {
		return checkResult{
			File:     file,
			Bytes:    len(data),
			Problems: config.Problems(err),
		}
	}
	doc := set.Document()
	instances := 0
	for _, service := range doc.Services {
		instances += len(service.Instances)
	}
	return checkResult{
		File:      file,
		Good:      true,
		Version:   doc.Version,
		Digest:    set.Digest(),
		Bytes:     len(data),
		Services:  len(doc.Services),
		Instances: instances,
		Leaving:   len(doc.Leaving),
		summary: fmt.Sprintf("version %d, %d services, %d instances, %d leaving, %d of %d bytes",
			doc.Version, len(doc.Services), instances, len(doc.Leaving), len(data), config.MaxSize),
	}
}

func resultsText(env Env, results []checkResult) string {
	var b strings.Builder
	for _, result := range results {
		for _, p := range result.Problems {
			fmt.Fprintf(&b, "%s: %s\n", result.File, p)
		}
		writeRecordFindings(&b, env, result)
		if result.Good {
			fmt.Fprintf(&b, "%s: good: %s\n", result.File, result.summary)
			continue
		}
		fmt.Fprintf(&b, "%s: %s: %s\n", result.File, env.red("refused"), pluralize(len(result.Problems), "problem"))
	}
	return b.String()
}
