package ctl

import (
	"context"
	"flag"
	"slices"

	"siskinswitch.example/siskin/internal/proto/config"
)

const leaveHelp = `siskinctl leave [--back] [--out FILE] DOCUMENT TARGET...
  Makes a draft in which the targets are leaving: they finish what they have
  and get no new requests. With --back they no longer leave.
  The draft goes to --out or to the standard output; seal it before publishing.
  Exit code 0 if it was written, 1 if it was refused, 2 for wrong usage.

  Example: siskinctl leave --out draft.json published.json payment-2
`

// leaveOptions holds the flags of the subcommand.
type leaveOptions struct {
	back bool
	out  string
}

func leaveCommand(env Env) *Command {
	var l leaveOptions
	return &Command{
		Keyword: "leave",
		Short:   "make a draft in which targets are leaving",
		Help:    leaveHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&l.back, "back", false, "let the targets take requests again")
			f.StringVar(&l.out, "out", stdio, "file to write, - for the standard output")
		},
		Do: func(_ context.Context, args []string) error {
			return l.run(env, args)
		},
	}
}

func (l leaveOptions) run(env Env, args []string) error {
	const op = "leave"
	if len(args) < 2 {
		return usageError(op, "a document and at least one target are needed")
	}
	set, err := env.parseDocument(op, args[0])
	if err != nil {
		return err
	}
	doc := set.Document()
	names := slices.Clone(doc.Leaving)
	for _, name := range args[1:] {
		target, ok := set.Target(name)
		switch {
		case !ok:
			return refusedError(op, "%s has no target %q", args[0], name)
		case l.back && !target.Leaving:
			return refusedError(op, "%s is not leaving", name)
		case !l.back && slices.Contains(names, name):
			return refusedError(op, "%s is leaving already", name)
		case l.back:
			names = slices.DeleteFunc(names, func(other string) bool { return other == name })
		default:
			names = append(names, name)
		}
	}
	return env.writeFile(op, l.out, config.Encode(doc.WithLeaving(names)))
}
