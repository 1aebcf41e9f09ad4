package snipecatalog_test

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecatalog"
)

// keyed returns a catalog with the given number of workspaces and of keys for each.
func keyed(tb testing.TB, workspaces, keys int) *snipecatalog.Catalog {
	c := &snipecatalog.Catalog{Version: 1}
	for n := range workspaces {
		w := snipecatalog.Workspace{Name: strconv.Itoa(n)}
		for k := range keys {
			w.Keys = append(w.Keys, snipecatalog.DigestKey(strconv.Itoa(n)+"/"+strconv.Itoa(k)))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	must.NoError(tb, c.Index())
	return c
}

// TestWorkspace verifies that a workspace is found by its keys only.
func TestWorkspace(t *testing.T) {
	c := keyed(t, 3, 2)
	must.True(t, c.RequiresKeys())
	must.False(t, c.Limited())
	must.Eq(t, "2", c.Workspace(snipecatalog.DigestKey("2/1")).Name)
	for _, key := range []string{"", "2/2", "2/1 ", "2/"} {
		must.Nil(t, c.Workspace(snipecatalog.DigestKey(key)))
	}
	must.Nil(t, c.WorkspaceNamed("3"))
	must.False(t, keyed(t, 0, 0).RequiresKeys())
}

// TestCost verifies the units that requests are charged.
func TestCost(t *testing.T) {
	tokens := snipecatalog.Quota{PerSecond: 1, Tokens: true, DefaultTokens: 200}
	tests := map[string]struct {
		quota  snipecatalog.Quota
		tokens int
		stated bool
		want   float64
	}{
		"Tokens":      {tokens, 721, true, 721},
		"NoneStated":  {tokens, 0, true, 0},
		"Plain":       {tokens, 0, false, 200},
		"Requests":    {snipecatalog.Quota{PerSecond: 1}, 721, true, 1},
		"PlainNumber": {snipecatalog.Quota{PerSecond: 1}, 0, false, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, tt.want, tt.quota.Cost(tt.tokens, tt.stated)) })
	}
}

// BenchmarkWorkspace measures the lookup of one key among 100,000.
func BenchmarkWorkspace(b *testing.B) {
	c := keyed(b, 1000, 100)
	b.ReportAllocs()
	for b.Loop() {
		if c.Workspace(snipecatalog.DigestKey("712/34")) == nil {
			b.Fatal("unknown")
		}
	}
}
