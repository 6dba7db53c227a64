package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

const importHelp = `siskinctl import [--base DOCUMENT] [--out FILE] [--partial] [--json] REGISTER
  Makes a draft from an export of the asset register. The register decides on
  services, owners, instances and places. Operations, callers and all other
  rules are taken from the base document; without one there are none yet.
  The register is CSV with a header line, separated by commas or semicolons, or
  a JSON array of objects. Columns, in any order:
    service, owner, instance, region, centre, host         needed
    inbound, outbound, control, operator, slots, conns     taken from the base's
      instance of the same name, or from the first instance of the service, where
      the column or cell is empty
  Other columns are ignored. Names are put in lower case.
  Each row refused is listed with its line and the reason. Nothing is written
  then, unless --partial is given; the instances in refused rows stay as the base
  has them, and if the name in one cannot be read, no instance is removed.
  The draft goes to --out or to the standard output, and in the latter case the
  report to the standard error.
  Exit code 0 if all rows were taken, 1 if one was refused, 2 for wrong usage.

  Example: siskinctl import --base published.json --out draft.json register.csv
`

const opImport = "import"

// importOptions holds the flags of the subcommand.
type importOptions struct {
	base    string
	out     string
	partial bool
	asJSON  bool
}

// importReport is the report of the import subcommand.
type importReport struct {
	Rows    int          `json:"rows"`
	Taken   int          `json:"taken"`
	Refused []refusedRow `json:"refused"`
	Ignored []string     `json:"ignored"`
	// OpenProblems lists what must be corrected before the draft can be
	// sealed.
	OpenProblems []rules.Problem `json:"open"`
	// Written reports whether the draft was written.
	Written bool `json:"written"`
}

func importCommand(env Env) *Command {
	var i importOptions
	return &Command{
		Keyword: "import",
		Short:   "make a draft from an export of the asset register",
		Help:    importHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&i.base, "base", "", "document to take the rules from")
			f.StringVar(&i.out, "out", stdio, "file to write, - for the standard output")
			f.BoolVar(&i.partial, "partial", false, "write the draft in spite of refused rows")
			f.BoolVar(&i.asJSON, "json", false, "report as JSON")
		},
		Do: func(_ context.Context, args []string) error {
			return i.run(env, args)
		},
	}
}

func (i importOptions) run(env Env, files []string) error {
	if len(files) != 1 {
		return usageError(opImport, "one register is needed, not %d", len(files))
	}
	var base rules.Document
	if i.base != "" {
		doc, err := env.decodeDocument(opImport, i.base)
		if err != nil {
			return err
		}
		base = doc
	}
	export, err := i.readRegister(env, files[0])
	if err != nil {
		return err
	}
	m := &merger{
		base:    base,
		rows:    export.rows,
		refused: export.refused,
		kept:    make(map[string]bool),
	}
	draft := m.merge()
	report := makeImportReport(export, m, draft)
	return i.finish(env, draft, report)
}

func (i importOptions) readRegister(env Env, name string) (*register, error) {
	data, err := env.readFile(opImport, name, maxRegisterBytes+1)
	if err != nil {
		return nil, err
	}
	if len(data) > maxRegisterBytes {
		return nil, refusedError(opImport, "%s has more than %d bytes", name, maxRegisterBytes)
	}
	p := &progress{
		env:   env,
		file:  name,
		total: int64(len(data)),
	}
	export := &register{
		onProgress: p.update,
	}
	err = export.read(data)
	p.end()
	if err != nil {
		return nil, refusedError(opImport, "%s: %w", name, err)
	}
	if len(export.rows)+len(export.refused) == 0 {
		return nil, refusedError(opImport, "%s holds no rows", name)
	}
	return export, nil
}

func makeImportReport(export *register, m *merger, draft rules.Document) importReport {
	report := importReport{
		Rows:         len(m.rows) + len(m.refused),
		Taken:        len(m.rows),
		Refused:      append([]refusedRow{}, m.refused...),
		Ignored:      append([]string{}, export.ignored...),
		OpenProblems: []rules.Problem{},
	}
	slices.SortFunc(report.Refused, func(a, b refusedRow) int { return cmp.Compare(a.Line, b.Line) })
	slices.Sort(report.Ignored)
	// A draft gets its version, author and reason when it is sealed.
	// Placeholders keep the check from listing them as problems.
	sealed := draft.WithVersion(1, "", "import", "import")
	report.OpenProblems = append(report.OpenProblems, rules.Check(sealed)...)
	return report
}

// finish writes the draft, unless rows were refused and --partial is not
// given, and then the report.
func (i importOptions) finish(env Env, draft rules.Document, report importReport) error {
	if len(report.Refused) == 0 || i.partial {
		data := config.Encode(draft)
		if len(data) > config.MaxSize {
			return refusedError(opImport, "the draft has %d bytes, more than %d", len(data), config.MaxSize)
		}
		if err := env.writeFile(opImport, i.out, data); err != nil {
			return err
		}
		report.Written = true
	}
	if err := env.reportEnv(i.out).report(i.asJSON, report, report.text()); err != nil {
		return err
	}
	if len(report.Refused) > 0 {
		return findingsError(opImport)
	}
	return nil
}

func (r importReport) text() string {
	var b strings.Builder
	for _, row := range r.Refused {
		fmt.Fprintf(&b, "%s: refused: %s\n", strings.TrimSpace(fmt.Sprintf("line %d %s", row.Line, row.Name)), row.Reason)
	}
	if len(r.Ignored) > 0 {
		fmt.Fprintf(&b, "columns ignored: %s\n", strings.Join(r.Ignored, ", "))
	}
	fmt.Fprintf(&b, "%s, %d taken, %d refused\n", pluralize(r.Rows, "row"), r.Taken, len(r.Refused))
	if !r.Written {
		b.WriteString("nothing was written; mend the register or give --partial\n")
	}
	for _, p := range r.OpenProblems {
		fmt.Fprintf(&b, "still to do: %s\n", p)
	}
	return b.String()
}
