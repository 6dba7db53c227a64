package ctl

import (
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

// parseDocument reads and checks a document. It lists the problems of a bad
// one on the standard error.
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

// decodeDocument reads a document of the right shape that need not keep the
// rules yet.
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

// listProblems lists what is wrong with a document on the standard error.
func (e Env) listProblems(name string, err error) {
	for _, p := range config.Problems(err) {
		e.messagef("%s: %s\n", name, p)
	}
}
