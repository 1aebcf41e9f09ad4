package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// pages returns the text of all pages by their path from the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	must.NoError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		all[path] = string(text)
		return err
	}))
	return all
}

// TestLinks holds that each relative link leads to a file.
func TestLinks(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^):#]+)\)`)
	for page, text := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			must.NoError(t, err, must.Sprintf("link of %s", page))
		}
	}
}

// TestMapOfPackages holds that the overview names each package.
func TestMapOfPackages(t *testing.T) {
	overview, err := os.ReadFile("overview.md")
	must.NoError(t, err)
	for _, pattern := range []string{"../snipe*", "../cmd/*"} {
		packages, err := filepath.Glob(pattern)
		must.NoError(t, err)
		for _, p := range packages {
			name := "`" + strings.TrimPrefix(p, "../") + "`"
			must.True(t, strings.Contains(string(overview), name), must.Sprint(name))
		}
	}
}

// TestPromises holds that each test that the promises name exists.
func TestPromises(t *testing.T) {
	page, err := os.ReadFile("promises.md")
	must.NoError(t, err)
	var tests strings.Builder
	for _, pattern := range []string{"../*/*_test.go", "../cmd/*/*_test.go"} {
		files, err := filepath.Glob(pattern)
		must.NoError(t, err)
		for _, f := range files {
			source, err := os.ReadFile(f)
			must.NoError(t, err)
			tests.Write(source)
		}
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1) {
		must.True(t, strings.Contains(tests.String(), "func "+name[1]+"("), must.Sprint(name[1]))
	}
}
