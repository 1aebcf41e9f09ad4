package snipeentry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// quietTime is how long some instances get no requests, in which the upstreams cease to be brittle.
	quietTime = 4 * time.Second
	// endRequests is the number of requests to each of these instances after that.
	endRequests = 20
)

// TestBrittlenessEnds guards against instances that refuse all requests to a service for good: its upstreams were brittle,
// and no longer are, but this was learned by others alone. Whoever asks strictly for permits gets none from a coordinator
// that no longer lends strictly, so that no answer of an upstream tells it either.
func TestBrittlenessEnds(t *testing.T) {
	tests := map[string]struct {
		load brittleLoad
		// asked is how many instances, from the first on, get requests while the upstreams cease to be brittle.
		asked int
	}{
		"Plain":      {brittleLoad{instances: 6, offered: 0.6, queue: shortQueue}, 3},
		"PlainOne":   {brittleLoad{instances: 6, offered: 0.2, queue: shortQueue}, 1},
		"Engines":    {brittleLoad{instances: 6, offered: 0.6, queue: shortQueue, engines: true}, 3},
		"EnginesOne": {brittleLoad{instances: 6, offered: 0.2, queue: shortQueue, engines: true}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.load.fill()
			s, all := startBrittleCluster(t, &tt.load)
			for _, r := range s.runners {
				r.SetBrittle(maxBrittleRefusals)
			}
			s.sendBrittle(&tt.load, all, contactTime)
			for _, r := range s.runners {
				r.SetBrittle(0)
			}
			s.sendBrittle(&tt.load, all[:tt.asked], quietTime)
			failed := map[string]int{}
			for n := range endRequests * (len(all) - tt.asked) {
				i := all[tt.asked+n%(len(all)-tt.asked)]
				if a := s.sendOneBrittle(&tt.load, i, n); a.status != http.StatusOK {
					failed[fmt.Sprint(i.Settings.Name, " ", a.status, " ", a.body)]++
				}
			}
			must.MapEmpty(t, failed)
		})
	}
}
