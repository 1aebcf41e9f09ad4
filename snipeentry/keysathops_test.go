package snipeentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
)

// keyUse is a request with one of the keys that operators add one after another, and its answer.
type keyUse struct {
	instance, version int
	sent, ended       time.Time
	status            int
}

// addedKeys are keys of which each version of the catalog has one more, from version 2 on.
type addedKeys struct {
	*cutCluster
	lock      sync.Mutex // guards the fields below
	confirmed map[int]time.Time
	newest    int
	uses      []keyUse
}

const keysLength, keyGap, keyUseGap = 5 * time.Second, 250 * time.Millisecond, 12 * time.Millisecond

// TestKeysAddedAtHops guards against requests that are denied for a key that was confirmed, or by which the same instance has
// served before, while operators add keys, requests wait for their adapters and some instances reach no upstream.
func TestKeysAddedAtHops(t *testing.T) {
	for name, cut := range map[string]int{"None": 0, "OneOfThree": 1, "TwoOfThree": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &addedKeys{cutCluster: &cutCluster{testCluster: newTestCluster(t, time.Millisecond)}, newest: 2}
			s.declare(2, workspace("north", "key-2"))
			s.confirmed = map[int]time.Time{2: time.Now()}
			s.addInstance("sound") // takes all engines
			eventually(t, func() bool { return strings.Count(s.logged(), `"Name":"OwnershipTaken"`) == 3 })
			s.addInstance("i1")
			s.addInstance("i2")
			for _, i := range s.instances {
				eventually(t, func() bool { return status(t, i, "key-2") == http.StatusOK })
			}
			for _, r := range s.runners {
				r.LoadDuration = 100 * time.Millisecond
			}
			for _, l := range s.links[len(s.links)-cut:] {
				l.set(linksReset)
			}
			var running sync.WaitGroup
			running.Go(s.add)
			for n := range int(keysLength / keyUseGap) {
				running.Go(func() { s.use(n) })
				time.Sleep(keyUseGap)
			}
			running.Wait()
			served, late, back := s.judge()
			hops := strings.Count(s.logged(), `"Name":"HopEnded"`)
			t.Logf("%d requests, %d served, %d hops; denied late %d, back %d", len(s.uses), served, hops, late, back)
			must.Positive(t, served)
			must.Eq(t, cut > 0, hops > 0)
			test.Zero(t, late)
			test.Zero(t, back)
		})
	}
}

// add declares versions with one key more each.
func (s *addedKeys) add() {
	all := []object{workspace("north", "key-2")}
	for version := 3; version < 3+int(keysLength/keyGap); version++ {
		all = append(all, workspace(fmt.Sprint("south", version), fmt.Sprint("key-", version)))
		s.declare(version, all...)
		s.lock.Lock()
		s.confirmed[version], s.newest = time.Now(), version
		s.lock.Unlock()
		time.Sleep(keyGap)
	}
}

// use sends the n-th request, with a key that was confirmed.
func (s *addedKeys) use(n int) {
	s.lock.Lock()
	u := keyUse{instance: n % len(s.instances), version: 2 + rand.IntN(s.newest-1), sent: time.Now()}
	s.lock.Unlock()
	a, _ := send(s.t, s.instances[u.instance].url, http.MethodPost, "/draft/x", "",
		"Authorization", fmt.Sprint("Bearer key-", u.version), modelHeader, fmt.Sprint("base/a", n%20))
	u.status, u.ended = a.status, time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.uses = append(s.uses, u)
}

// judge returns the number of requests that were served, of those that were denied later than the declared time after the
// confirmation, and of those that were denied after their instance had served by the same version or a newer one.
func (s *addedKeys) judge() (served, late, back int) {
	for _, u := range s.uses {
		switch {
		case u.status == http.StatusOK:
			served++
		case denied(u.status):
			if u.sent.Sub(s.confirmed[u.version]) > snipeentry.DefaultMaxStaleness {
				late++
			}
			if slices.ContainsFunc(s.uses, func(v keyUse) bool {
				return v.status == http.StatusOK && v.instance == u.instance && v.version >= u.version && u.sent.Sub(v.ended) > servedSlack
			}) {
				back++
			}
		}
	}
	return served, late, back
}
