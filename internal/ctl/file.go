package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"siskinswitch.example/siskin/internal/proto/config"
)

// stdio is the file name that stands for the standard input or output.
const stdio = "-"

// newFileMode is the permission mode of written files.
const newFileMode = 0o644

// readDocument reads a file that should hold a document. It reads one byte
// more than the largest valid document, which is enough to refuse a larger
// one.
func (e Env) readDocument(op, name string) ([]byte, error) {
	return e.readFile(op, name, config.MaxSize+1)
}

// readFile reads at most limit bytes from a file or the standard input.
func (e Env) readFile(op, name string, limit int64) ([]byte, error) {
	r := e.In
	if name != stdio {
		file, err := os.Open(name)
		if err != nil {
			return nil, fileError(op, err)
		}
		defer func() { _ = file.Close() }()
		r = file
	}
	data, err := io.ReadAll(io.LimitReader(r, limit))
	if err != nil {
		return nil, fileError(op, err)
	}
	return data, nil
}

// writeFile writes data to a file or the standard output.
func (e Env) writeFile(op, name string, data []byte) error {
	if name == stdio {
		_, err := e.Out.Write(data)
		return err
	}
	if err := os.WriteFile(name, data, newFileMode); err != nil {
		return fileError(op, err)
	}
	return nil
}

// report writes a report to the standard output, as JSON or as the given text.
func (e Env) report(asJSON bool, report any, text string) error {
	if !asJSON {
		_, err := io.WriteString(e.Out, text)
		return err
	}
	enc := json.NewEncoder(e.Out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}

// reportEnv returns an Env for the report of a subcommand that writes a
// document to the file out. If the document goes to the standard output, the
// report goes to the standard error, so that the two do not mix.
func (e Env) reportEnv(out string) Env {
	if out == stdio {
		e.Out = e.Err
		e.OutTerm = e.ErrTerm
	}
	return e
}

// ANSI escape sequences for colours.
const (
	escapeRed   = "\x1b[31m"
	escapeReset = "\x1b[0m"
)

// red returns text in red if Out is a terminal.
func (e Env) red(text string) string {
	if !e.OutTerm {
		return text
	}
	return escapeRed + text + escapeReset
}

// messagef writes a message that is not part of the report to the standard
// error. It ignores write errors, since there is no other place to report
// them.
func (e Env) messagef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format, args...)
}

func fileError(op string, err error) error {
	return &Error{
		Op:   op,
		Kind: KindFile,
		Err:  err,
	}
}
