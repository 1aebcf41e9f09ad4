package snipeentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// crowdedLimit is the limit that each of two upstreams names, in requests a second, crowdedRate that of the callers.
	crowdedLimit, crowdedRate = 20, 24
	// crowdedTime is how long nine tenths of the callers come to one instance, crowdedChange how long to the same one.
	crowdedTime, crowdedChange = 9 * time.Second, 3 * time.Second
	// minCrowdedServed is the least fraction served then, of that before.
	minCrowdedServed = 0.75
)

// TestCrowdedInstance guards against callers who are refused because most of them come to one instance, which may use
// only its even share of what all instances may send to upstreams that name limits.
func TestCrowdedInstance(t *testing.T) {
	tests := map[string]struct {
		instances int
		engines   bool
		unlimited bool
	}{
		"Three":          {instances: 3},
		"Nine":           {instances: 9},
		"ThreeEngines":   {instances: 3, engines: true},
		"NineEngines":    {instances: 9, engines: true},
		"NineUnlimited":  {instances: 9, unlimited: true},
		"ThreeUnlimited": {instances: 3, engines: true, unlimited: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, time.Millisecond)
			s.declare(1)
			var all []*instance
			for n := range tt.instances {
				all = append(all, s.start(fmt.Sprint("i", n)))
			}
			for _, i := range all {
				waitServing(t, i)
			}
			limited, target, header := []string{"p1", "p2"}, "/often/x", []string(nil)
			if tt.engines {
				limited, target, header = []string{"e1", "e2"}, "/final/x", []string{modelHeader, "base"}
			}
			for _, id := range limited {
				if !tt.unlimited {
					s.runners[id].AnnounceLimit(crowdedLimit)
				}
			}
			sent := &senders{all: map[string]string{}}
			spread := func(int) *instance { return all[rand.IntN(len(all))] }
			s.sendCrowded(sent, contactTime, spread, target, header)
			before := s.sendCrowded(sent, contactTime, spread, target, header)
			crowded := func(n int) *instance {
				if rand.IntN(10) == 0 {
					return spread(n)
				}
				return all[n/int(crowdedRate*crowdedChange.Seconds())%len(all)]
			}
			s.sendCrowded(sent, contactTime, crowded, target, header)
			after := s.sendCrowded(sent, crowdedTime, crowded, target, header)
			t.Logf("%s: %.2f served before, %.2f after", t.Name(), before, after)
			must.GreaterEq(t, minCrowdedServed*before, after)
			for _, id := range limited {
				must.SliceEmpty(t, snipestand.LimitBreaches(s.runners[id].Arrivals(), sent.sender, nil))
			}
		})
	}
}

// sendCrowded sends requests to the instances that pick returns, and returns the fraction that was served.
func (s *testCluster) sendCrowded(sent *senders, length time.Duration, pick func(n int) *instance, target string, header []string) float64 {
	var all sync.WaitGroup
	var lock sync.Mutex
	total, served := int(length.Seconds()*crowdedRate), 0
	begun := time.Now()
	for n := range total {
		i := pick(n)
		all.Go(func() {
			a, id := send(s.t, i.url, http.MethodGet, target, "", header...)
			sent.record(id, i.url, a.status)
			lock.Lock()
			defer lock.Unlock()
			if a.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * time.Second / crowdedRate)))
	}
	all.Wait()
	return float64(served) / float64(total)
}
