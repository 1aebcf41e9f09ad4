package snipeentry

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

func peer(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:70", n+1)) }

// TestFollowedReader checks that, however many readers have failed, no instance reads the copy of
// one that ranks below itself, so that no two read each other's copies, and that after enough
// failures the instance reads the store. An instance that has lost the store tries all readers in
// turn.
func TestFollowedReader(t *testing.T) {
	const count = 5
	readers := make([]netip.AddrPort, count)
	for n := range readers {
		readers[n] = peer(n)
	}
	for own := range count + 1 { // the last instance is not among the readers
		for failures := range 2 * count {
			followed, ok := followedReader(readers, peer(own), failures, false)
			must.Eq(t, failures < min(own, count), ok)
			if ok {
				must.Less(t, own, slices.Index(readers, followed))
			}
			followed, ok = followedReader(readers[:4], peer(own), failures, true)
			must.True(t, ok)
			must.Eq(t, peer(failures%4), followed)
		}
	}
	_, ok := followedReader(nil, peer(0), 0, true)
	must.False(t, ok)
}

// TestAgePassedOn guards against copies that look younger each time they are passed on, because
// their age is rounded down to milliseconds.
func TestAgePassedOn(t *testing.T) {
	const table = "rows"
	m := snipemirror.New()
	m.Apply(snipemirror.Page{Complete: true, Position: 1, Age: 1399*time.Millisecond + 800*time.Nanosecond})
	server := &mirrorServer{mirrors: map[string]*snipemirror.Mirror{table: m}}
	answer, err := server.Watch(t.Context(), &snipeproto.MirrorWatchRequest{Table: table})
	must.NoError(t, err)
	must.GreaterEq(t, 1400, answer.GetAgeMilliseconds())
}
