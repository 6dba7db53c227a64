package ctl

import (
	"context"
	"flag"

	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

const sealHelp = `siskinctl seal --author NAME --reason TEXT [--out FILE] [--yes] [--json] PUBLISHED DRAFT
siskinctl seal --author NAME --reason TEXT [--out FILE] --first DRAFT
  Makes the next version out of a draft: the version after the published one,
  the digest of the published bytes as its parent, who made it and why. PUBLISHED
  must hold exactly the bytes that are published. The draft's own version,
  parent, author and reason do not matter, so an older version can be brought
  back by sealing it as the draft.
  With --first, the draft becomes version 1.
  The sealed document goes to --out or to the standard output, and in the
  latter case the report of what changes to the standard error. If there are
  warnings, or nothing changes, nothing is written until --yes is given.
  Exit code 0 if it was sealed, 1 if it was refused, 2 for wrong usage.

  Example: siskinctl seal --author awa --reason "drain payment-2" --out next.json published.json draft.json
`

// sealOptions holds the flags of the subcommand.
type sealOptions struct {
	author string
	reason string
	out    string
	first  bool
	yes    bool
	asJSON bool
}

func sealCommand(env Env) *Command {
	var s sealOptions
	return &Command{
		Keyword: "seal",
		Short:   "make the next version out of a draft",
		Help:    sealHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&s.author, "author", "", "who makes the change")
			f.StringVar(&s.reason, "reason", "", "why the change is made")
			f.StringVar(&s.out, "out", stdio, "file to write, - for the standard output")
			f.BoolVar(&s.first, "first", false, "make version 1, which has no predecessor")
			f.BoolVar(&s.yes, "yes", false, "seal in spite of warnings")
			f.BoolVar(&s.asJSON, "json", false, "report as JSON")
		},
		Do: func(_ context.Context, args []string) error {
			return s.seal(env, args)
		},
	}
}

const opSeal = "seal"

func (s sealOptions) seal(env Env, files []string) error {
	want := 2
	if s.first {
		want = 1
	}
	switch {
	case len(files) != want:
		return usageError(opSeal, "%s needed, not %d", pluralize(want, "document"), len(files))
	case s.author == "":
		return usageError(opSeal, "--author is needed")
	case s.reason == "":
		return usageError(opSeal, "--reason is needed")
	}
	draft, err := env.decodeDocument(opSeal, files[len(files)-1])
	if err != nil {
		return err
	}
	if s.first {
		data, sealed, err := s.finish(env, draft, 1, "")
		if err != nil {
			return err
		}
		return s.write(env, data, sealed)
	}
	published, err := env.parseDocument(opSeal, files[0])
	if err != nil {
		return err
	}
	data, sealed, err := s.finish(env, draft, published.Version()+1, published.Digest())
	if err != nil {
		return err
	}
	if err := s.review(env, compare(published, sealed)); err != nil {
		return err
	}
	return s.write(env, data, sealed)
}

// write writes the sealed document. If it goes to a file, a message names the
// version and the file.
func (s sealOptions) write(env Env, data []byte, sealed *rules.Set) error {
	if err := env.writeFile(opSeal, s.out, data); err != nil || s.out == stdio {
		return err
	}
	env.messagef("version %d (%s) is in %s, ready to be published\n", sealed.Version(), shortDigest(sealed.Digest()), s.out)
	return nil
}

// finish seals the draft and checks the result as a daemon would.
func (s sealOptions) finish(env Env, draft rules.Document, version uint64, parent string) ([]byte, *rules.Set, error) {
	data := config.Encode(draft.WithVersion(version, parent, s.author, s.reason))
	set, err := config.Parse(data)
	if err != nil {
		env.listProblems("draft", err)
		return nil, nil, refusedError(opSeal, "the draft is refused")
	}
	return data, set, nil
}

// review writes the report on the changes. Without --yes it returns an error
// if there are warnings or nothing changes.
func (s sealOptions) review(env Env, report comparison) error {
	reportEnv := env.reportEnv(s.out)
	err := reportEnv.report(s.asJSON, report, report.text(reportEnv))
	switch {
	case err != nil:
		return err
	case s.yes:
		return nil
	case report.Warnings > 0:
		return refusedError(opSeal, "nothing was written because of %s; look at the report and give --yes to seal all the same",
			pluralize(report.Warnings, "warning"))
	case len(report.Changes) == 0:
		return refusedError(opSeal, "nothing was written because nothing changes; give --yes to seal all the same")
	}
	return nil
}
