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

// TestLoadCandidates guards against a wrong order of load candidates: engines that held the adapter
// come first, overloaded engines come last, and each group is ordered by rank, as in a full sort.
func TestLoadCandidates(t *testing.T) {
	const count = 40
	c := newChooser(&fakeOwners{}, count)
	a := request.Adapter
	previous, overloaded := map[string]bool{"e3": true, "e17": true, "e20": true}, map[string]bool{"e5": true, "e20": true, "e30": true}
	for id := range previous {
		c.Residency.RecordHeld(id, a, 1)
		c.Residency.RecordAbsent(id, a)
	}
	for id := range overloaded {
		c.Balancer.SetLoad(id, 500)
	}
	key := sniperoute.Hash(a.Model, a.Name)
	group := func(id string) int {
		switch {
		case overloaded[id]:
			return 2
		case previous[id]:
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
	must.Eq(t, ids, c.LoadCandidatesForTest(service, a, count))
	must.Eq(t, ids[:5], c.LoadCandidatesForTest(service, a, 5))
}

// TestChooseAmongThousands guards against a choice whose cost grows with the number of engines: the
// engine that holds an adapter is found among 3000, with at most four allocations.
func TestChooseAmongThousands(t *testing.T) {
	c := newChooser(&fakeOwners{}, 3000)
	for n := range 3000 {
		c.Residency.RecordHeld(fmt.Sprint("e", n), snipecatalog.Adapter{Model: "base", Name: fmt.Sprint("a", n)}, 1)
	}
	must.Eq(t, []string{"e1"}, c.Residency.Holders(request.Adapter, nil))
	choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
	must.NoError(t, err)
	must.Eq(t, "e1", choice.Upstream.ID)
	must.Eq(t, 1, choice.Holders)
	must.SliceEmpty(t, (&snipeadapter.Residency{}).Holders(request.Adapter, nil))
	perChoice := testing.AllocsPerRun(100, func() {
		_, err = c.Choose(t.Context(), service, request, nil, latencyTarget)
	})
	must.NoError(t, err)
	must.LessEq(t, 4, perChoice)
}
