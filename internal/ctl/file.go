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

// newFileMode is the mode of the files that siskinctl writes.
const newFileMode = 0o644

// readDocument reads a file that should hold a document. It stops one byte
// beyond the size of the largest one, which is enough to refuse it.
func (e Env) readDocument(op, name string) ([]byte, error) {
	return e.readFile(op, name, config.MaxSize+1)
}

// readFile reads at most limit bytes of a file, or of the standard input.
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

// writeFile writes data to a file, or to the standard output.
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

// report writes a report, either as JSON or as the text made from it.
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

// reportEnv returns an Env whose reports do not mix with a document written to
// the file out: they go to the standard error if the document goes to the
// standard output.
func (e Env) reportEnv(out string) Env {
	if out == stdio {
		e.Out = e.Err
		e.OutTerm = e.ErrTerm
	}
	return e
}

// Escape sequences of terminals.
const (
	escapeRed   = "\x1b[31m"
	escapeReset = "\x1b[0m"
)

// red returns text in red if the reports go to a terminal.
func (e Env) red(text string) string {
	if !e.OutTerm {
		return text
	}
	return escapeRed + text + escapeReset
}

// messagef tells the operator something that is no part of the report. Without a
// standard error there is nobody to tell.
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
