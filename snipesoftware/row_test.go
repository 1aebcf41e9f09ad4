package snipesoftware

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzRow checks that a row is either refused, or lists some versions, each once.
func FuzzRow(f *testing.F) {
	for _, text := range []string{"", "null", "[]", `[{"Version":"v1"}]`, `[{"Version":5}]`, `[{"Version":"v"},{"Version":"v"}]`, `{"Version":"v"}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRow(data)
		if err != nil {
			must.ErrorIs(t, err, ErrRow)
			return
		}
		must.Positive(t, len(r))
		seen := make(map[Version]bool)
		for _, e := range r {
			seen[e.Version] = true
		}
		must.MapLen(t, len(r), seen)
	})
}
