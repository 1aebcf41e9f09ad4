package snipetree_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFeed verifies that an instance which is behind by no more than the reported edits reads only
// the report and the changed documents, and that one further behind reads the head as well.
func TestFeed(t *testing.T) {
	tests := map[string]struct {
		edits int
		reads int
	}{
		"nothing new":            {0, 1},
		"one edit":               {1, 2},
		"as many as are kept":    {24, 25},
		"one more than are kept": {25, 27},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := tableWithPlatform(t)
			editor, reader := newStore(table), newStore(table)
			must.NoError(t, reader.Refresh(t.Context()))
			for n := range tc.edits {
				data := fmt.Sprintf(`{"Adapters": {"a": {"Base": "b", "Versions": {"1": {"Path": "%d"}}}}}`, n)
				_, err := editor.Apply(t.Context(), fmt.Sprint("team-", n), 0, []byte(data))
				must.NoError(t, err)
			}
			before, _ := table.Counts()
			must.NoError(t, reader.Refresh(t.Context()))
			after, _ := table.Counts()
			must.Eq(t, tc.reads, after-before)
			must.Eq(t, uint64(tc.edits)+1, reader.Current().Revision)
			must.MapLen(t, tc.edits, reader.Current().Teams)
		})
	}
}
