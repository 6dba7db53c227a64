package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// decoder reads JSON into a document and lists where the JSON does not fit the
// document's types. Its recursion is bounded by the nesting of these types,
// because values that do not fit are skipped without recursion.
type decoder struct {
	dec      *json.Decoder
	problems []rules.Problem
}

// decode fills doc from data, which must be valid JSON.
func decode(data []byte, doc *rules.Document) ([]rules.Problem, error) {
	d := &decoder{
		dec: json.NewDecoder(bytes.NewReader(data)),
	}
	d.dec.UseNumber()
	err := d.value("", reflect.ValueOf(doc).Elem())
	return d.problems, err
}

func (d *decoder) addProblem(path, format string, args ...any) {
	if len(d.problems) == rules.MaxProblems {
		return
	}
	d.problems = append(d.problems, rules.Problem{
		Path: path,
		Text: fmt.Sprintf(format, args...),
	})
}

// value reads the next JSON value into v. It returns only errors of the reader; a
// value that does not fit is added to the problems.
func (d *decoder) value(path string, v reflect.Value) error {
	token, err := d.dec.Token()
	if err != nil {
		return err
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.text(path, token, text)
	}
	switch v.Kind() {
	case reflect.Struct:
		if token != json.Delim('{') {
			return d.mismatch(path, token, "an object")
		}
		return d.object(path, v)
	case reflect.Slice:
		if token != json.Delim('[') {
			return d.mismatch(path, token, "an array")
		}
		return d.array(path, v)
	case reflect.String:
		text, ok := token.(string)
		if !ok {
			return d.mismatch(path, token, "a string")
		}
		v.SetString(text)
	case reflect.Bool:
		b, ok := token.(bool)
		if !ok {
			return d.mismatch(path, token, "true or false")
		}
		v.SetBool(b)
	default:
		return d.number(path, token, v)
	}
	return nil
}

func (d *decoder) text(path string, token json.Token, v encoding.TextUnmarshaler) error {
	text, ok := token.(string)
	if !ok {
		return d.mismatch(path, token, "a string")
	}
	if err := v.UnmarshalText([]byte(text)); err != nil {
		d.addProblem(path, "%v", err)
	}
	return nil
}

func (d *decoder) number(path string, token json.Token, v reflect.Value) error {
	number, ok := token.(json.Number)
	if !ok {
		return d.mismatch(path, token, "a whole number")
	}
	var err error
	if v.CanUint() {
		var n uint64
		n, err = strconv.ParseUint(number.String(), 10, v.Type().Bits())
		v.SetUint(n)
	} else {
		var n int64
		n, err = strconv.ParseInt(number.String(), 10, v.Type().Bits())
		v.SetInt(n)
	}
	if err != nil {
		d.addProblem(path, "%.40s is not a whole number in range", number)
	}
	return nil
}

func (d *decoder) array(path string, v reflect.Value) error {
	for n := 0; d.dec.More(); n++ {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := d.value(fmt.Sprintf("%s[%d]", path, n), element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	_, err := d.dec.Token()
	return err
}

func (d *decoder) object(path string, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(fields))
	for d.dec.More() {
		token, err := d.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := d.member(joinPath(path, name), name, seen[name], fields, v); err != nil {
			return err
		}
		seen[name] = true
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			d.addProblem(joinPath(path, f.name), "the field is missing")
		}
	}
	_, err := d.dec.Token()
	return err
}

// member reads the value of one member of an object. A field that is unknown or
// was already set is skipped and added to the problems.
func (d *decoder) member(path, name string, isDuplicate bool, fields []field, v reflect.Value) error {
	for _, f := range fields {
		if f.name != name {
			continue
		}
		if isDuplicate {
			d.addProblem(path, "the field is given twice")
			return d.skip()
		}
		return d.value(path, v.Field(f.index))
	}
	d.addProblem(path, "there is no such field here")
	return d.skip()
}

// mismatch adds a problem about a value of the wrong type and skips the rest of
// the value.
func (d *decoder) mismatch(path string, token json.Token, want string) error {
	d.addProblem(path, "%s is expected here", want)
	if delim, ok := token.(json.Delim); ok && (delim == '{' || delim == '[') {
		return d.skipRest()
	}
	return nil
}

func (d *decoder) skip() error {
	token, err := d.dec.Token()
	if err != nil {
		return err
	}
	if _, ok := token.(json.Delim); ok {
		return d.skipRest()
	}
	return nil
}

// skipRest reads to the end of an object or array whose start has been read.
func (d *decoder) skipRest() error {
	for depth := 1; depth > 0; {
		token, err := d.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// field describes one field of a document type by its JSON tag.
type field struct {
	name     string
	index    int
	optional bool
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for n := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(n).Tag.Get("json"), ",")
		fields = append(fields, field{
			name:     name,
			index:    n,
			optional: options == "omitempty",
		})
	}
	return fields
}

// maxPathNameBytes bounds each name in a path, since the name of an unknown field
// can be arbitrarily long.
const maxPathNameBytes = 40

func joinPath(path, name string) string {
	if len(name) > maxPathNameBytes {
		name = name[:maxPathNameBytes]
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
