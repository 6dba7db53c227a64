package ctl

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/proxy"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/platform"
)

const checkHelp = `siskinctl check [--json] [--kind document] FILE...
  Checks documents and lists everything that is wrong with each, with its path.
  FILE may be - for the standard input. With --kind settings the files are the
  settings of a daemon on the users' platform, with --kind record the
  configuration as their store holds it; of these the first fault is listed.
  Exit code 0 if all are good, 1 if one is refused, 2 for wrong usage.

  Example: siskinctl check examples/xaalis.json
`

// Kinds of files that check takes.
const (
	kindDocument = "document"
	kindSettings = "settings"
	kindRecord   = "record"
)

// verdict is the report on one document.
type verdict struct {
	File      string          `json:"file"`
	Good      bool            `json:"good"`
	Version   uint64          `json:"version,omitempty"`
	Digest    string          `json:"digest,omitempty"`
	Bytes     int             `json:"bytes"`
	Services  int             `json:"services,omitempty"`
	Instances int             `json:"instances,omitempty"`
	Leaving   int             `json:"leaving,omitempty"`
	Problems  []rules.Problem `json:"problems,omitempty"`
	// summary tells in words what is in a good file.
	summary string
}

func checkCommand(env Env) *Command {
	var asJSON bool
	var kind string
	return &Command{
		Keyword: "check",
		Short:   "check documents and list what is wrong with them",
		Help:    checkHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "report as JSON")
			f.StringVar(&kind, "kind", kindDocument, "what the files are: document, settings or record")
		},
		Do: func(_ context.Context, args []string) error {
			return check(env, args, kind, asJSON)
		},
	}
}

func check(env Env, files []string, kind string, asJSON bool) error {
	const op = "check"
	judges := map[string]func(env Env, op, file string) verdict{
		kindDocument: judgeDocument,
		kindSettings: judgeSettings,
		kindRecord:   judgeRecord,
	}
	judge, ok := judges[kind]
	if !ok {
		return usageError(op, "there is no kind %q", kind)
	}
	if len(files) == 0 {
		return usageError(op, "no file is named")
	}
	verdicts := make([]verdict, 0, len(files))
	good := true
	for _, file := range files {
		v := judge(env, op, file)
		good = good && v.Good
		verdicts = append(verdicts, v)
	}
	if err := env.report(asJSON, verdicts, verdictText(env, verdicts)); err != nil {
		return err
	}
	if !good {
		return findings(op)
	}
	return nil
}

// faulty is the verdict on a file with one problem.
func faulty(file string, size int, text string) verdict {
	return verdict{
		File:  file,
		Bytes: size,
		Problems: []rules.Problem{
			{
				Text: text,
			},
		},
	}
}

// judgeSettings checks the settings of a daemon on the users' platform.
func judgeSettings(env Env, op, file string) verdict {
	data, err := env.readDocument(op, file)
	if err != nil {
		return faulty(file, 0, causeOf(err))
	}
	if _, err := proxy.ReadSettings(bytes.NewReader(data)); err != nil {
		return faulty(file, len(data), err.Error())
	}
	return verdict{
		File:    file,
		Good:    true,
		Bytes:   len(data),
		summary: "settings of a daemon",
	}
}

// judgeRecord checks a configuration as the platform's store holds it.
func judgeRecord(env Env, op, file string) verdict {
	data, err := env.readDocument(op, file)
	if err != nil {
		return faulty(file, 0, causeOf(err))
	}
	c, err := platform.DecodeConfig(data)
	if err != nil {
		return faulty(file, len(data), err.Error())
	}
	return verdict{
		File:     file,
		Good:     true,
		Version:  c.Version,
		Bytes:    len(data),
		Services: len(c.Services),
		summary:  fmt.Sprintf("version %d, %s", c.Version, count(len(c.Services), "service")),
	}
}

// judgeDocument checks one document. A file that cannot be read has that as its
// problem.
func judgeDocument(env Env, op, file string) verdict {
	data, err := env.readDocument(op, file)
	if err != nil {
		return faulty(file, 0, causeOf(err))
	}
	set, err := config.Parse(data)
	if err != nil {
		return verdict{
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
	return verdict{
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

func verdictText(env Env, verdicts []verdict) string {
	var b strings.Builder
	for _, v := range verdicts {
		if v.Good {
			fmt.Fprintf(&b, "%s: good: %s\n", v.File, v.summary)
			continue
		}
		for _, p := range v.Problems {
			fmt.Fprintf(&b, "%s: %s\n", v.File, p)
		}
		fmt.Fprintf(&b, "%s: %s: %s\n", v.File, env.red("refused"), count(len(v.Problems), "problem"))
	}
	return b.String()
}
