package snipegateway_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipesignal"
)

const service = "engines"

// fakeOwners simulates the engines' owners: each load takes some time, and busy engines refuse
// loads that would take too long.
type fakeOwners struct {
	lock      sync.Mutex
	requested []string
	demands   []snipeadapter.Demand
	busy      map[string]time.Duration
	canceled  int
	// failures maps engines to the errors of their load requests.
	failures map[string]error
	// extraTime is added to the expected time of each load.
	extraTime time.Duration
}

// loadTime is the time of a load on an otherwise idle engine.
const loadTime = 250 * time.Millisecond

func (o *fakeOwners) ensure(ctx context.Context, u *snipedirectory.Upstream, _ snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error) {
	o.lock.Lock()
	o.requested = append(o.requested, u.ID)
	o.demands = append(o.demands, d)
	wait, failure := o.busy[u.ID], o.failures[u.ID]
	o.lock.Unlock()
	if failure != nil {
		return 0, failure
	}
	if wait > d.MaxWait {
		return 0, &snipeadapter.BusyError{Wait: wait}
	}
	select {
	case <-time.After(wait + loadTime + o.extraTime):
		return max(version, 1), nil
	case <-ctx.Done():
		o.lock.Lock()
		defer o.lock.Unlock()
		o.canceled++
		return 0, ctx.Err()
	}
}

// requestCount returns the number of load requests.
func (o *fakeOwners) requestCount() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	return len(o.requested)
}

func newChooser(o *fakeOwners, engines int) *snipegateway.Chooser {
	c := &snipegateway.Chooser{
		Directory: &snipedirectory.Cache{}, Balancer: &snipebalance.Balancer{},
		Residency: &snipeadapter.Residency{}, Signals: &snipesignal.Tracker{}, Versions: &snipecatalog.Cache{},
		Ensure: o.ensure, Owned: func(*snipedirectory.Upstream) bool { return true },
	}
	change := snipedirectory.Change{Whole: true}
	for n := range engines {
		change.Changed = append(change.Changed, &snipedirectory.Upstream{
			ID: fmt.Sprint("e", n), Name: fmt.Sprint("e", n), Service: service, Slots: 64, Models: []string{"base"},
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.9.%d.%d:80", n/200, n%200+1)),
		})
	}
	c.Directory.Apply(change)
	return c
}

var request = &snipegateway.Request{Adapter: snipecatalog.Adapter{Model: "base", Name: "a1"}}

const latencyTarget = 600 * time.Millisecond

// TestOneLoadForAll guards against one load for each of many concurrent requests for an adapter
// that no engine holds: one load must serve all of them, and later requests must find it.
func TestOneLoadForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 12)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, 250*time.Millisecond, choice.Waited)
			})
		}
		all.Wait()
		must.Len(t, 1, o.requested)
		choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.Eq(t, o.requested[0], choice.Upstream.ID)
		must.Eq(t, 0, choice.Waited)
	})
}

// TestSecondInRank guards against waiting for the home engine when it has more loads queued than it
// runs at once and another engine has not: the load must go to the next engine in rank.
func TestSecondInRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 12)
		first, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		home := first.Upstream.ID
		c = newChooser(o, 12)
		o.requested, o.busy = nil, map[string]time.Duration{home: 500 * time.Millisecond}
		choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.NotEq(t, home, choice.Upstream.ID)
		must.Eq(t, []string{home, choice.Upstream.ID}, o.requested)
	})
}

// TestDeadEngines guards against requests that fail after a crash of many engines: engines whose
// load requests fail are passed over. A second request asks those again whose owner refused as not
// the owner, but not those that accept no connection.
func TestDeadEngines(t *testing.T) {
	const count = 12
	tests := map[string]struct {
		dead     int
		failure  error
		requests int // load requests for a second request, after the adapter's holder was forgotten
	}{
		"NoConnection": {5, snipeadapter.ErrUnreached, 1},
		"NoOwner":      {5, snipeadapter.ErrNotOwner, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &fakeOwners{failures: map[string]error{}}
				c := newChooser(o, count)
				for _, u := range c.RankedForTest(service, request.Adapter)[:tt.dead] {
					o.failures[u] = tt.failure
				}
				_, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, tt.dead+1, o.requestCount())
				c.Residency.Forget(o.requested[tt.dead])
				_, err = c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, tt.requests, o.requestCount()-tt.dead-1)
			})
		})
	}
}

// TestOldVersionEnds guards against requests that begin on an adapter's previous version more than
// five seconds after the announcement of the new one. An instance may learn of the announcement
// late, and a request may wait for seconds in an engine's queue before it begins, so the previous
// version may be chosen only in what is left of the five seconds.
func TestOldVersionEnds(t *testing.T) {
	const begunBy, queued, learned = 5 * time.Second, 1800 * time.Millisecond, 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 12)
		_, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.True(t, c.Versions.Announce(request.Adapter, 2))
		choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.Eq(t, 1, choice.Version)
		time.Sleep(begunBy - queued - learned)
		choice, err = c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.Eq(t, 2, choice.Version)
	})
}

// TestRefusedAtOnce guards against requests that wait although no engine can load their adapter
// within the latency target: a request is refused at once, with the time that the owners named.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{busy: map[string]time.Duration{}}
		for n := range 12 {
			o.busy[fmt.Sprint("e", n)] = 2 * time.Second
		}
		begun := time.Now()
		_, err := newChooser(o, 12).Choose(t.Context(), service, request, nil, latencyTarget)
		f := snipeerror.From(err)
		must.Eq(t, snipeerror.NotRun, f.Outcome)
		must.Eq(t, 2*time.Second, f.RetryAfter)
		must.Eq(t, 0, time.Since(begun))
	})
}

// TestLoadRequestCanceled guards against loads that go on although all requests waiting for them
// have ended: the load request must be canceled.
func TestLoadRequestCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 3)
		var all sync.WaitGroup
		for n := range 3 {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n+1)*50*time.Millisecond)
				defer cancel()
				_, err := c.Choose(ctx, service, request, nil, latencyTarget)
				must.Error(t, err)
			})
		}
		all.Wait()
		synctest.Wait()
		must.Eq(t, 1, o.canceled)
	})
}

// TestReplicas guards against too few replicas of an adapter that all instances together use often,
// and against replicas of a rarely used one. It also checks that Replicas returns new replicas, and
// no longer does so after some seconds.
func TestReplicas(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		want      int
	}{"Rare": {2, 1}, "Often": {16, 2}, "Hot": {70, 5}, "Hottest": {400, 12}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &fakeOwners{}
				c := newChooser(o, 12)
				choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				home := choice.Upstream
				for range 10 {
					share := tt.perSecond / float64(o.requestCount())
					c.AddReplicas(home, map[snipecatalog.Adapter]float64{request.Adapter: share})
					time.Sleep(300 * time.Millisecond)
				}
				must.Eq(t, tt.want, o.requestCount())
				must.Len(t, tt.want-1, c.Replicas(request.Adapter, home.ID))
				time.Sleep(4 * time.Second)
				must.SliceEmpty(t, c.Replicas(request.Adapter, home.ID))
			})
		})
	}
}
