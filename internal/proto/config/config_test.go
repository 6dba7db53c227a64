package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/internal/state/rules"
)

const minimalDocument = `{
  "version": 1, "parent": "", "author": "awa", "reason": "first", "allowance": 2,
  "regions": [{"name": "dakar", "centres": ["a"]}],
  "callers": [],
  "services": [{
    "name": "shop", "owner": "core",
    "operations": [{"name": "pay", "importance": "vital", "deadline": 100}],
    "instances": [{"name": "shop-1", "place": "dakar/a", "host": "127.0.0.1",
      "inbound": 1, "outbound": 2, "control": 3, "operator": 4, "slots": 5, "conns": 6}]
  }]
}`

func TestParse(t *testing.T) {
	set, err := Parse([]byte(minimalDocument))
	if err != nil {
		t.Fatal(err)
	}
	if set.Digest() != Digest([]byte(minimalDocument)) || set.Version() != 1 {
		t.Errorf("Parse: version %d, digest %s", set.Version(), set.Digest())
	}
}

func TestParseRefuses(t *testing.T) {
	tests := map[string]struct {
		old  string
		new  string
		kind Kind
		path string
		text string
	}{
		"unknown field": {
			old:  `"owner"`,
			new:  `"owners": {"a": [1]}, "owner"`,
			kind: KindShape,
			path: "services[0].owners",
			text: "no such field",
		},
		"field name in another case": {
			old:  `"owner"`,
			new:  `"Owner"`,
			kind: KindShape,
			path: "services[0].Owner",
			text: "no such field",
		},
		"missing field": {
			old:  `"importance": "vital",`,
			new:  ``,
			kind: KindShape,
			path: "services[0].operations[0].importance",
			text: "missing",
		},
		"field twice": {
			old:  `"slots": 5`,
			new:  `"slots": 5, "slots": 9`,
			kind: KindShape,
			path: "services[0].instances[0].slots",
			text: "twice",
		},
		"field twice with an escape": {
			old:  `"slots": 5`,
			new:  `"slots": 5, "slot\u0073": 9`,
			kind: KindShape,
			path: "services[0].instances[0].slots",
			text: "twice",
		},
		"number as a string": {
			old:  `"slots": 5`,
			new:  `"slots": "5"`,
			kind: KindShape,
			path: "services[0].instances[0].slots",
			text: "whole number",
		},
		"fraction": {
			old:  `"slots": 5`,
			new:  `"slots": 5.5`,
			kind: KindShape,
			path: "services[0].instances[0].slots",
			text: "5.5 is not a whole number",
		},
		"negative version": {
			old:  `"version": 1`,
			new:  `"version": -1`,
			kind: KindShape,
			path: "version",
			text: "in range",
		},
		"null": {
			old:  `"callers": []`,
			new:  `"callers": null`,
			kind: KindShape,
			path: "callers",
			text: "an array",
		},
		"object for an array": {
			old:  `"callers": []`,
			new:  `"callers": {"a": [{}]}`,
			kind: KindShape,
			path: "callers",
			text: "an array",
		},
		"importance": {
			old:  `"vital"`,
			new:  `"urgent"`,
			kind: KindShape,
			path: "services[0].operations[0].importance",
			text: "spare, normal, high, vital",
		},
		"flag as a number": {
			old:  `"deadline": 100`,
			new:  `"deadline": 100, "once": 1`,
			kind: KindShape,
			path: "services[0].operations[0].once",
			text: "true or false",
		},
		"syntax": {
			old:  `"callers": [],`,
			new:  `"callers": [,]`,
			kind: KindSyntax,
			text: "line 4",
		},
		"trailing data": {
			old:  minimalDocument,
			new:  minimalDocument + "{}",
			kind: KindSyntax,
			text: "after top-level value",
		},
		"not UTF-8": {
			old:  `"awa"`,
			new:  "\"aw\xff\"",
			kind: KindSyntax,
			text: "UTF-8",
		},
		"empty": {
			old:  minimalDocument,
			kind: KindSyntax,
			text: "unexpected end",
		},
		"too large": {
			old:  `"callers"`,
			new:  strings.Repeat(" ", MaxSize) + `"callers"`,
			kind: KindTooLarge,
			text: "more than 1048576",
		},
		"deep": {
			old:  `"callers": []`,
			new:  `"callers": ` + strings.Repeat("[", 9999) + strings.Repeat("]", 9999),
			kind: KindShape,
			path: "callers[0]",
			text: "an object",
		},
		"rule": {
			old:  `"slots": 5`,
			new:  `"slots": 0`,
			kind: KindRules,
			path: "services[0].instances[0].slots",
			text: "outside",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(minimalDocument, tt.old, tt.new, 1)))
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.kind {
				t.Fatalf("Parse: %v, want kind %v", err, tt.kind)
			}
			for _, p := range Problems(err) {
				if p.Path == tt.path && strings.Contains(p.Text, tt.text) {
					return
				}
			}
			t.Errorf("Problems = %v, want %s: ...%s...", Problems(err), tt.path, tt.text)
		})
	}
}

// TestEncodeDecode checks that Decode restores any document that Encode wrote,
// valid or not.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := rapid.Make[rules.Document]().Draw(t, "doc")
		normalize(reflect.ValueOf(&doc).Elem())
		got, err := Decode(Encode(doc))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, doc) {
			t.Errorf("got %+v, want %+v", got, doc)
		}
	})
}

// normalize puts importances and cost classes in range and makes empty slices
// nil, because JSON cannot represent the other values.
func normalize(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for n := range v.NumField() {
			normalize(v.Field(n))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			v.SetZero()
		}
		for n := range v.Len() {
			normalize(v.Index(n))
		}
	case reflect.Uint8:
		v.SetUint(v.Uint() % 2)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add([]byte(`{"services":[{"operations":[{"calls":["a/b"]}]}]}`))
	f.Add([]byte(`[[[{"a":1e9}]]]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse(data)
		if err != nil {
			if len(Problems(err)) == 0 {
				t.Errorf("refused without a problem: %v", err)
			}
			return
		}
		again, err := Parse(Encode(set.Document()))
		if err != nil {
			t.Fatalf("refused its own encoding: %v", err)
		}
		if !reflect.DeepEqual(again.Document(), set.Document()) {
			t.Error("the encoding reads as another document")
		}
	})
}
