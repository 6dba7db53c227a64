package config

import (
	"encoding"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/state/rules"
)

// pageField is the description of one field on the page.
type pageField struct {
	kind         string
	defaultValue string
	bounds       string
}

// TestPage checks docs/CONFIG.md against the types and the checks in the code:
// the page lists exactly the existing fields with their types and defaults, and
// each range of numbers is the one that the check enforces.
func TestPage(t *testing.T) {
	page := readPage(t)
	var doc rules.Document
	fields := make(map[string]reflect.Value)
	collectFields(fields, "", reflect.ValueOf(&doc).Elem())
	for path := range page {
		if _, ok := fields[path]; !ok {
			t.Errorf("the page names %s, which is no field", path)
		}
	}
	optional := make(map[string]bool)
	collectOptional(optional, "", reflect.TypeOf(doc))
	for path, v := range fields {
		got, ok := page[path]
		if !ok {
			t.Errorf("the page does not name %s", path)
			continue
		}
		if kind := jsonKind(v); got.kind != kind {
			t.Errorf("%s: the page says %s, the code %s", path, got.kind, kind)
		}
		if defaultValue := defaultOf(v, optional[path]); got.defaultValue != defaultValue {
			t.Errorf("%s: the page says default %s, the code %s", path, got.defaultValue, defaultValue)
		}
		if kind := jsonKind(v); kind == "number" || v.Kind() == reflect.Uint8 {
			checkBounds(t, path, v, got.bounds, &doc)
		}
	}
}

// readPage parses the table of fields.
func readPage(t *testing.T) map[string]pageField {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "CONFIG.md"))
	if err != nil {
		t.Fatal(err)
	}
	// The settings of a daemon have their own table and test.
	document, _, ok := strings.Cut(string(text), "\n# Settings of a daemon\n")
	if !ok {
		t.Fatal("the page has no settings")
	}
	page := make(map[string]pageField)
	for line := range strings.Lines(document) {
		cells := strings.Split(line, "|")
		if len(cells) != 8 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		for n := range cells {
			cells[n] = strings.TrimSpace(cells[n])
		}
		page[strings.Trim(cells[1], "`")] = pageField{
			kind:         cells[2],
			defaultValue: cells[4],
			bounds:       cells[5],
		}
	}
	return page
}

// collectFields adds every field of v by its path, and gives each slice of structs
// one element.
func collectFields(fields map[string]reflect.Value, path string, v reflect.Value) {
	for _, f := range fieldsOf(v.Type()) {
		member := v.Field(f.index)
		at := joinPath(path, f.name)
		fields[at] = member
		if member.Kind() == reflect.Slice && member.Type().Elem().Kind() == reflect.Struct {
			member.Set(reflect.MakeSlice(member.Type(), 1, 1))
			collectFields(fields, at+"[]", member.Index(0))
		}
	}
}

func collectOptional(optional map[string]bool, path string, t reflect.Type) {
	for _, f := range fieldsOf(t) {
		at := joinPath(path, f.name)
		optional[at] = f.optional
		if member := t.Field(f.index).Type; member.Kind() == reflect.Slice && member.Elem().Kind() == reflect.Struct {
			collectOptional(optional, at+"[]", member.Elem())
		}
	}
}

func jsonKind(v reflect.Value) string {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return "string"
	}
	switch v.Kind() {
	case reflect.Slice:
		return "array"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	default:
		return "number"
	}
}

func defaultOf(v reflect.Value, optional bool) string {
	switch {
	case !optional:
		return "required"
	case v.Kind() == reflect.Slice:
		return "empty"
	default:
		return fmt.Sprint(reflect.Zero(v.Type()))
	}
}

var (
	rangeForm = regexp.MustCompile(`^(\d+) to (\d+)$`)
	fromForm  = regexp.MustCompile(`^from (\d+)$`)
)

// checkBounds tries the values at and beyond the bounds of a number, and
// each name of a text value.
func checkBounds(t *testing.T, path string, v reflect.Value, bounds string, doc *rules.Document) {
	t.Helper()
	// Reset the value, because checks of other fields compare with it.
	defer v.SetZero()
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		names := strings.Split(bounds, ", ")
		for n, name := range names {
			if err := text.UnmarshalText([]byte(name)); err != nil || v.Uint() != uint64(n) {
				t.Errorf("%s: %q is not name %d: %v", path, name, n, err)
			}
		}
		v.SetUint(uint64(len(names)))
		if !isRefused(path, doc) {
			t.Errorf("%s: the page lacks a name", path)
		}
		return
	}
	low, high := int64(0), int64(-1)
	if m := rangeForm.FindStringSubmatch(bounds); m != nil {
		low, _ = strconv.ParseInt(m[1], 10, 64)
		high, _ = strconv.ParseInt(m[2], 10, 64)
	} else if m := fromForm.FindStringSubmatch(bounds); m != nil {
		low, _ = strconv.ParseInt(m[1], 10, 64)
	} else {
		t.Errorf("%s: the page gives no range, but %q", path, bounds)
		return
	}
	tryNumber(t, path, v, doc, low, false)
	tryNumber(t, path, v, doc, low-1, true)
	if high >= 0 {
		tryNumber(t, path, v, doc, high, false)
		tryNumber(t, path, v, doc, high+1, true)
	}
}

func tryNumber(t *testing.T, path string, v reflect.Value, doc *rules.Document, n int64, refused bool) {
	t.Helper()
	if v.CanUint() {
		v.SetUint(uint64(n))
	} else {
		v.SetInt(n)
	}
	if got := isRefused(path, doc); got != refused {
		t.Errorf("%s = %d: refused %v, the page says %v", path, n, got, refused)
	}
}

// isRefused reports whether the check reports a problem with the field at path.
func isRefused(path string, doc *rules.Document) bool {
	at := strings.ReplaceAll(path, "[]", "[0]")
	for _, p := range rules.Check(*doc) {
		if p.Path == at {
			return true
		}
	}
	return false
}
