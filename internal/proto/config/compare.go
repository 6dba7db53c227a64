package config

import (
	"fmt"
	"reflect"
	"slices"
)

// forEachPair calls visit for each name that occurs in a or b: first for names
// only in a, then for the names in b in its order. x or y is nil if the name
// does not occur in a or b.
func forEachPair[T any](a, b []T, nameOf func(T) string, visit func(name string, x, y *T)) {
	before := byName(a, nameOf)
	after := byName(b, nameOf)
	for n := range a {
		if name := nameOf(a[n]); after[name] == nil {
			visit(name, &a[n], nil)
		}
	}
	for n := range b {
		name := nameOf(b[n])
		visit(name, before[name], &b[n])
	}
}

func byName[T any](list []T, nameOf func(T) string) map[string]*T {
	index := make(map[string]*T, len(list))
	for n := range list {
		index[nameOf(list[n])] = &list[n]
	}
	return index
}

// fieldTexts describes the differences between the fields of two structs of one
// type, without fields that are slices.
func fieldTexts(x, y any) []string {
	before, after := reflect.ValueOf(x), reflect.ValueOf(y)
	var texts []string
	for _, f := range fieldsOf(before.Type()) {
		from, to := before.Field(f.index), after.Field(f.index)
		if from.Kind() == reflect.Slice || from.Equal(to) {
			continue
		}
		texts = append(texts, fmt.Sprintf("%s changes from %v to %v", f.name, from, to))
	}
	return texts
}

// listTexts describes which names a list loses and gains.
func listTexts(noun string, before, after []string) []string {
	var texts []string
	for _, name := range before {
		if !slices.Contains(after, name) {
			texts = append(texts, fmt.Sprintf("loses %s %s", noun, name))
		}
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			texts = append(texts, fmt.Sprintf("gains %s %s", noun, name))
		}
	}
	return texts
}
