package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Encode returns doc as JSON. The same document always gives the same bytes. It
// does not check doc; [Parse] refuses the encoding of an invalid document.
func Encode(doc rules.Document) []byte {
	e := &encoder{}
	e.value(reflect.ValueOf(doc), 0)
	e.buf.WriteByte('\n')
	return e.buf.Bytes()
}

// encoder writes a struct that contains other structs with one field a line, and
// any other struct on a single line.
type encoder struct {
	buf bytes.Buffer
}

func (e *encoder) value(v reflect.Value, depth int) {
	if text, ok := v.Interface().(fmt.Stringer); ok {
		e.scalar(text.String())
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		e.object(v, depth)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		e.structs(v, depth)
	case v.Kind() == reflect.Slice:
		e.scalars(v)
	default:
		e.scalar(v.Interface())
	}
}

func (e *encoder) object(v reflect.Value, depth int) {
	nested := holdsStructs(v.Type())
	e.buf.WriteByte('{')
	first := true
	for _, f := range fieldsOf(v.Type()) {
		member := v.Field(f.index)
		if f.optional && isEmpty(member) {
			continue
		}
		if !first {
			e.buf.WriteByte(',')
		}
		if nested {
			e.newline(depth + 1)
		}
		first = false
		e.scalar(f.name)
		e.buf.WriteByte(':')
		if nested {
			e.buf.WriteByte(' ')
		}
		e.value(member, depth+1)
	}
	if nested {
		e.newline(depth)
	}
	e.buf.WriteByte('}')
}

// structs writes a slice of structs, starting each on a new line.
func (e *encoder) structs(v reflect.Value, depth int) {
	e.buf.WriteByte('[')
	for n := range v.Len() {
		if n > 0 {
			e.buf.WriteByte(',')
		}
		e.newline(depth + 1)
		e.value(v.Index(n), depth+1)
	}
	if v.Len() > 0 {
		e.newline(depth)
	}
	e.buf.WriteByte(']')
}

// scalars writes a slice of scalars on one line.
func (e *encoder) scalars(v reflect.Value) {
	e.buf.WriteByte('[')
	for n := range v.Len() {
		if n > 0 {
			e.buf.WriteByte(',')
		}
		e.scalar(v.Index(n).Interface())
	}
	e.buf.WriteByte(']')
}

// scalar writes a string, number or boolean, whose encoding cannot fail.
func (e *encoder) scalar(v any) {
	enc := json.NewEncoder(&e.buf)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
	e.buf.Truncate(e.buf.Len() - 1)
}

func (e *encoder) newline(depth int) {
	e.buf.WriteByte('\n')
	e.buf.WriteString(strings.Repeat("  ", depth))
}

func holdsStructs(t reflect.Type) bool {
	for n := range t.NumField() {
		f := t.Field(n).Type
		if f.Kind() == reflect.Slice && f.Elem().Kind() == reflect.Struct {
			return true
		}
	}
	return false
}

func isEmpty(v reflect.Value) bool {
	if v.Kind() == reflect.Slice {
		return v.Len() == 0
	}
	return v.IsZero()
}
