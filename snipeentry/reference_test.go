package snipeentry_test

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
)

// TestReference checks that the operators' reference page has a row for each field of the settings,
// and no other rows.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/platform.md")
	must.NoError(t, err)
	var rows, fields []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		rows = append(rows, m[1])
	}
	settings := reflect.TypeFor[snipeentry.Settings]()
	for n := range settings.NumField() {
		fields = append(fields, settings.Field(n).Name)
	}
	must.SliceContainsAll(t, rows, fields)
}
