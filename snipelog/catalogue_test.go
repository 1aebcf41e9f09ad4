package snipelog

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCatalogue checks that the operators' page lists every event with its number, name and level,
// and that no number is used twice.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/events.md")
	must.NoError(t, err)
	seen := map[int]bool{}
	for _, e := range Catalogue() {
		must.False(t, seen[e.Number], must.Sprintf("number %d is given twice", e.Number))
		seen[e.Number] = true
		must.StrContains(t, string(page), fmt.Sprintf("| %d | %s | %s |", e.Number, e.Name, e.Level))
	}
}
