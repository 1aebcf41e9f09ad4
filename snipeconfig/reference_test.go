package snipeconfig_test

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeconfig"
	"snipepitch.example/snipepitch/snipetree"
)

var textType = reflect.TypeFor[encoding.TextMarshaler]()

// field is one field of a settings document, with its default value.
type field struct {
	path  string
	value reflect.Value
}

// fields returns the fields of a settings document. An element of a path that the operator
// chooses, such as the name of a team, is NAME.
func fields(path string, v reflect.Value) []field {
	t := v.Type()
	if t.Kind() == reflect.Pointer {
		return fields(path, reflect.Zero(t.Elem()))
	}
	switch {
	case t.Implements(textType):
	case t.Kind() == reflect.Map:
		return fields(path+".NAME", reflect.Zero(t.Elem()))
	case t.Kind() == reflect.Struct:
		var all []field
		for n := range t.NumField() {
			all = append(all, fields(strings.TrimPrefix(path+"."+t.Field(n).Name, "."), v.Field(n))...)
		}
		return all
	}
	return []field{{path, v}}
}

// rows returns the rows of one section of the settings reference, by the path of the field.
func rows(t *testing.T, section string) map[string]string {
	t.Helper()
	page, err := os.ReadFile("../docs/operators/settings.md")
	must.NoError(t, err)
	_, rest, ok := strings.Cut(string(page), "\n## "+section+"\n")
	must.True(t, ok)
	rest, _, _ = strings.Cut(rest, "\n## ")
	all := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|(.*)$").FindAllStringSubmatch(rest, -1) {
		path := strings.NewReplacer(".TEAM", ".NAME", ".CLASS", ".NAME").Replace(m[1])
		all[path] = m[2]
	}
	return all
}

// TestReference guards against a settings reference that deviates from the code: each field must
// have a row, each row a field, and the defaults must be the same.
func TestReference(t *testing.T) {
	tests := map[string]any{
		"The instance's file":   snipeconfig.Default(),
		"The platform's branch": snipetree.Platform{},
		"A team's branch":       snipetree.Branch{},
	}
	for section, document := range tests {
		t.Run(section, func(t *testing.T) {
			rowByPath := rows(t, section)
			var paths []string
			for _, f := range fields("", reflect.ValueOf(document)) {
				paths = append(paths, f.path)
				row, ok := rowByPath[f.path]
				must.True(t, ok, must.Sprintf("no row for %s", f.path))
				if !f.value.IsZero() {
					must.StrContains(t, row, "`"+encodedText(t, f.value)+"`", must.Sprintf("default of %s", f.path))
				}
			}
			for path := range rowByPath {
				must.True(t, slices.Contains(paths, path), must.Sprintf("no field for the row of %s", path))
			}
		})
	}
}

func encodedText(t *testing.T, v reflect.Value) string {
	t.Helper()
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		data, err := m.MarshalText()
		must.NoError(t, err)
		return string(data)
	}
	return fmt.Sprint(v.Interface())
}
