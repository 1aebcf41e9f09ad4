package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "snipepitch.example/snipepitch/"

// readers are the functions, types and variables by which bytes of a network are read. Generated code is left out: what it
// reads is bounded by the clients and handlers that it is given.
var (
	readerFunctions = map[string]bool{
		"http.ReadResponse": true, "http.ReadRequest": true, "http.Get": true, "http.Post": true, "http.PostForm": true, "http.Head": true,
		"http.ListenAndServe": true, "http.Serve": true, "http.MaxBytesHandler": true,
		"io.ReadAll": true, "io.Copy": true, "io.CopyN": true, "io.CopyBuffer": true, "io.ReadFull": true, "io.ReadAtLeast": true,
		"bufio.NewReader": true, "bufio.NewReaderSize": true, "bufio.NewScanner": true,
		"json.NewDecoder": true, "textproto.NewReader": true, "textproto.NewConn": true, "flate.NewReader": true, "gzip.NewReader": true,
		"net.Dial": true, "net.DialTimeout": true, "net.Listen": true, "net.ListenPacket": true, "snipebound.ReadAll": true,
	}
	readerTypes = map[string]bool{
		"http.Client": true, "http.Transport": true, "http.Server": true, "net.Dialer": true, "net.ListenConfig": true, "snipebound.Transport": true,
	}
	readerVariables = map[string]bool{"http.DefaultClient": true, "http.DefaultTransport": true}
)

// productPackages returns the folders of the packages that an instance consists of.
func productPackages(t *testing.T) []string {
	t.Helper()
	var all []string
	known := map[string]bool{}
	var add func(folder string)
	add = func(folder string) {
		if known[folder] {
			return
		}
		known[folder] = true
		all = append(all, folder)
		for _, f := range parseFolder(t, folder) {
			for _, i := range f.Imports {
				path, err := strconv.Unquote(i.Path.Value)
				must.NoError(t, err)
				if rest, ours := strings.CutPrefix(path, module); ours {
					add(rest)
				}
			}
		}
	}
	add("cmd/snipepitchd")
	return all
}

// parseFolder returns the source files of a package, without tests and generated code.
func parseFolder(t *testing.T, folder string) []*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
	must.NoError(t, err)
	var files []*ast.File
	for _, p := range paths {
		if strings.HasSuffix(p, "_test.go") || strings.HasSuffix(p, ".pb.go") || strings.HasSuffix(p, ".twirp.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), p, nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		files = append(files, f)
	}
	return files
}

// readersOf returns what a file reads a network by, as "PACKAGE.FUNCTION NAME" with the function or variable around it.
func readersOf(f *ast.File) []string {
	var found []string
	for _, d := range f.Decls {
		name := ""
		switch d := d.(type) {
		case *ast.FuncDecl:
			name = d.Name.Name
		case *ast.GenDecl:
			if v, ok := d.Specs[0].(*ast.ValueSpec); ok {
				name = v.Names[0].Name
			}
		}
		ast.Inspect(d, func(n ast.Node) bool {
			if used := usedReader(n); used != "" {
				found = append(found, f.Name.Name+"."+name+" "+used)
			}
			return true
		})
	}
	return found
}

// usedReader returns the reader of a network that a node calls, makes or names; empty if it is none.
func usedReader(n ast.Node) string {
	var names map[string]bool
	var e ast.Expr
	switch n := n.(type) {
	case *ast.CallExpr:
		names, e = readerFunctions, n.Fun
	case *ast.CompositeLit:
		names, e = readerTypes, n.Type
	case *ast.ValueSpec:
		names, e = readerTypes, n.Type
	case *ast.SelectorExpr:
		names, e = readerVariables, n
	}
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	x, ok := s.X.(*ast.Ident)
	if !ok || !names[x.Name+"."+s.Sel.Name] {
		return ""
	}
	return x.Name + "." + s.Sel.Name
}

// TestReadersAreBounded guards against a reader of a network without a stated bound: an answer whose header did not end
// took all of a process's memory. Each reader has a row in the page, with its bound, and each row a reader.
func TestReadersAreBounded(t *testing.T) {
	page, err := os.ReadFile("design/readers.md")
	must.NoError(t, err)
	rows := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-zA-Z]+\\.[a-zA-Z]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$").FindAllStringSubmatch(string(page), -1) {
		must.NotEq(t, "", strings.TrimSpace(m[4]), must.Sprint("no bound: ", m[1]))
		for _, by := range strings.Split(m[2], ",") {
			rows[m[1]+" "+strings.Trim(strings.TrimSpace(by), "`")] = true
		}
	}
	found := map[string]bool{}
	for _, folder := range productPackages(t) {
		for _, f := range parseFolder(t, folder) {
			for _, r := range readersOf(f) {
				found[r] = true
			}
		}
	}
	for r := range found {
		must.True(t, rows[r], must.Sprintf("%s reads a network, or a file, and has no row in design/readers.md", r))
	}
	for r := range rows {
		must.True(t, found[r], must.Sprintf("%s of design/readers.md does not exist", r))
	}
}
