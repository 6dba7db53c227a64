package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
)

const completionHelp = `siskinctl completion bash
  Writes a script that completes subcommands, flags and file names in bash. Zsh
  takes it too after 'autoload bashcompinit; bashcompinit'.
  Exit code 0, or 2 for wrong usage.

  Example: siskinctl completion bash > ~/.local/share/bash-completion/completions/siskinctl
`

// completionScript is a format string with the list of subcommands and the
// cases that set the flags of each. The script completes the first word from
// the subcommands, a word that begins with - from the flags, and any other
// word from the file names.
const completionScript = `_siskinctl() {
  local word="${COMP_WORDS[COMP_CWORD]}" flags=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "$word"))
    return
  fi
  case "${COMP_WORDS[1]}" in
%s  esac
  if [[ "$word" == -* ]]; then
    COMPREPLY=($(compgen -W "$flags" -- "$word"))
  else
    COMPREPLY=($(compgen -f -- "$word"))
  fi
}
complete -o filenames -F _siskinctl siskinctl
`

func completionCommand(env Env) *Command {
	return &Command{
		Keyword: "completion",
		Short:   "write a script for completion in bash",
		Help:    completionHelp,
		Env:     env,
		Flags:   func(*flag.FlagSet) {},
		Do: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "bash" {
				return usageError("completion", "name the shell, which must be bash")
			}
			_, err := io.WriteString(env.Out, completion(commands(env)))
			return err
		},
	}
}

func completion(all []*Command) string {
	words := make([]string, 0, len(all)+1)
	words = append(words, "help")
	var cases strings.Builder
	for _, command := range all {
		words = append(words, command.Keyword)
		flags := flag.NewFlagSet(command.Keyword, flag.ContinueOnError)
		command.Flags(flags)
		var names []string
		flags.VisitAll(func(f *flag.Flag) { names = append(names, "--"+f.Name) })
		fmt.Fprintf(&cases, "  %s) flags=\"%s\" ;;\n", command.Keyword, strings.Join(names, " "))
	}
	return fmt.Sprintf(completionScript, strings.Join(words, " "), cases.String())
}
