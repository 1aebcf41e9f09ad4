package main

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPage guards against an operators' page that lacks a command or an exit code,
// or lists a command that does not exist.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/snipectl.md")
	must.NoError(t, err)
	page := string(data)
	for _, c := range commands {
		must.StrContains(t, page, "| `"+c.name+"` |")
	}
	must.Eq(t, len(commands), strings.Count(page, "\n| `"))
	for code := range exitDiffers + 1 {
		must.StrContains(t, page, "\n| "+strconv.Itoa(code)+" | ")
	}
}
