package snipegateway_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/sniperoute"
)

// TestBestFirst: engines that held an adapter come first, those that are crowded last, and
// within each group the order is that of the ranks, as if all had been sorted.
func TestBestFirst(t *testing.T) {
	const count = 40
	c := newChooser(&owners{}, count)
	a := request.Adapter
	former, crowded := map[string]bool{"e3": true, "e17": true, "e20": true}, map[string]bool{"e5": true, "e20": true, "e30": true}
	for id := range former {
		c.Residency.Tell(id, a, 1)
		c.Residency.Deny(id, a)
	}
	for id := range crowded {
		c.Balancer.Told(id, 500)
	}
	key := sniperoute.Hash(a.Model, a.Name)
	group := func(id string) int {
		switch {
		case crowded[id]:
			return 2
		case former[id]:
			return 0
		}
		return 1
	}
	want := slices.Clone(c.Directory.Snapshot().Service(service))
	ids := make([]string, 0, count)
	for _, u := range want {
		ids = append(ids, u.ID)
	}
	slices.SortFunc(ids, func(x, y string) int {
		if d := group(x) - group(y); d != 0 {
			return d
		}
		scoreX := sniperoute.Score(key, c.Directory.Snapshot().ByID(x).RankKey)
		if scoreX > sniperoute.Score(key, c.Directory.Snapshot().ByID(y).RankKey) {
			return -1
		}
		return 1
	})
	must.Eq(t, ids, c.BestFirstForTest(service, a, count))
	must.Eq(t, ids[:5], c.BestFirstForTest(service, a, 5))
}

// TestAmongThousands: the engine that holds an adapter is found among thousands without a
// look at the others.
func TestAmongThousands(t *testing.T) {
	c := newChooser(&owners{}, 3000)
	for n := range 3000 {
		c.Residency.Tell(fmt.Sprint("e", n), snipecatalog.Adapter{Model: "base", Name: fmt.Sprint("a", n)}, 1)
	}
	must.Eq(t, []string{"e1"}, c.Residency.Holders(request.Adapter, nil))
	choice, err := c.Choose(t.Context(), service, request, nil, objective)
	must.NoError(t, err)
	must.Eq(t, "e1", choice.Upstream.ID)
	must.Eq(t, 1, choice.Holders)
	must.SliceEmpty(t, (&snipeadapter.Residency{}).Holders(request.Adapter, nil))
	perChoice := testing.AllocsPerRun(100, func() {
		_, err = c.Choose(t.Context(), service, request, nil, objective)
	})
	must.NoError(t, err)
	must.LessEq(t, 4, perChoice)
}
