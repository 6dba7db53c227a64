// Package config defines the published form of the inventory and rules: strict
// JSON of at most a megabyte, identified by the SHA-256 of its bytes.
//
// [Parse] refuses every document that it does not fully understand. The standard
// decoder accepts a misspelled field, a repeated field and a field name in
// another case, and each of these would silently replace a rule by its default.
// Therefore the document is read token by token and compared with the types of
// package rules; each fault is reported with its path, and so is each missing
// field that is not optional. Only a document that has the right fields is then
// checked against the rules.
//
// [Encode] writes each instance and each operation on a line of its own, so that
// a version control system shows a change of one instance as a change of one
// line. The same document always gives the same bytes.
//
// [Diff] and [Apply] transfer a new version to a daemon that holds an older one
// in a few hundred bytes; Diff describes the format.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"siskinswitch.example/siskin/internal/state/rules"
)

// MaxSize is the size of the largest document, in bytes.
const MaxSize = 1 << 20

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Parse decodes a published document and checks it against the rules. The error
// is an [*Error]; [Problems] lists the faults of the document.
func Parse(data []byte) (*rules.Set, error) {
	doc, err := Decode(data)
	if err != nil {
		return nil, err
	}
	set, err := rules.New(doc, Digest(data))
	if err != nil {
		return nil, &Error{
			Op:   opParse,
			Kind: KindRules,
			Err:  err,
		}
	}
	return set, nil
}

// Decode decodes a document without checking it against the rules, for tools
// that work on drafts. The error is an [*Error].
func Decode(data []byte) (rules.Document, error) {
	var doc rules.Document
	if len(data) > MaxSize {
		return doc, &Error{
			Op:   opParse,
			Kind: KindTooLarge,
			Err:  fmt.Errorf("the document has %d bytes, more than %d", len(data), MaxSize),
		}
	}
	if err := checkSyntax(data); err != nil {
		return doc, &Error{
			Op:   opParse,
			Kind: KindSyntax,
			Err:  err,
		}
	}
	problems, err := decode(data, &doc)
	if err != nil {
		return doc, &Error{
			Op:   opParse,
			Kind: KindSyntax,
			Err:  err,
		}
	}
	if len(problems) > 0 {
		return doc, &Error{
			Op:   opParse,
			Kind: KindShape,
			Err: &rules.Error{
				Op:       "read document",
				Kind:     rules.KindInvalid,
				Problems: problems,
			},
		}
	}
	return doc, nil
}

// checkSyntax checks that data is a single JSON value in UTF-8.
func checkSyntax(data []byte) error {
	if !utf8.Valid(data) {
		return errors.New("the document is not in UTF-8")
	}
	var whole json.RawMessage
	err := json.Unmarshal(data, &whole)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:syntax.Offset], []byte{'\n'})
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}
