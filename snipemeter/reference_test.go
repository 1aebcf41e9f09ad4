package snipemeter_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestReference checks that docs/operators/metrics.md lists exactly the metrics in the code.
// Without the check, a metric that is added or removed could be missing from the page or remain
// there.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/metrics.md")
	must.NoError(t, err)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(snipepitch_[a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	slices.Sort(documented)
	files, err := filepath.Glob("../snipe*/*.go")
	must.NoError(t, err)
	used := map[string]bool{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		must.NoError(t, err)
		for _, m := range regexp.MustCompile("[\"`](snipepitch_[a-z_]+)").FindAllStringSubmatch(string(source), -1) {
			used[m[1]] = true
		}
	}
	must.Eq(t, slices.Sorted(maps.Keys(used)), documented)
}
