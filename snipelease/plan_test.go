package snipelease

import (
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipemember"
)

// TestSuspectNotInEvenShare checks that suspects do not count in the even share. If they counted
// while all instances own an even share, a suspect's engine would have no candidate until the
// suspect is declared dead.
func TestSuspectNotInEvenShare(t *testing.T) {
	members := []snipemember.Member{
		{Name: "one"}, {Name: "two", Status: snipemember.Suspect}, {Name: "three"},
	}
	h := &Holder{
		Self:    Instance{Name: "one", Incarnation: "1"},
		Engines: func() []string { return []string{"e1", "e2", "e3"} },
		rows: map[string]ownerRow{
			"e1": {owner: owner{"one", "1"}},
			"e2": {owner: owner{"two", "1"}},
			"e3": {owner: owner{"three", "1"}},
		},
	}
	h.observed.all = members
	must.SliceLen(t, 2, h.plan().candidates("e2"))
}
