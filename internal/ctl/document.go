package ctl

import (
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

// parseDocument reads and checks a document. It lists the problems of an
// invalid document on the standard error.
func (e Env) parseDocument(op, name string) (*rules.Set, error) {
	data, err := e.readDocument(op, name)
	if err != nil {
		return nil, err
	}
	set, err := config.Parse(data)
	if err != nil {
		e.listProblems(name, err)
		return nil, refusedError(op, "%s is refused", name)
	}
	return set, nil
}

// decodeDocument reads a document whose syntax and field types are right but
// which need not be valid, such as a draft. It lists problems as parseDocument
// does.
func (e Env) decodeDocument(op, name string) (rules.Document, error) {
	data, err := e.readDocument(op, name)
	if err != nil {
		return rules.Document{}, err
	}
	doc, err := config.Decode(data)
	if err != nil {
		e.listProblems(name, err)
		return rules.Document{}, refusedError(op, "%s is refused", name)
	}
	return doc, nil
}

// listProblems writes the problems of a document to the standard error.
func (e Env) listProblems(name string, err error) {
	for _, p := range config.Problems(err) {
		e.messagef("%s: %s\n", name, p)
	}
}
