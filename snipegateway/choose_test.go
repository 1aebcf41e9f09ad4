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

// owners stands for the engines' owners: each load takes its time, engines that are
// busy refuse.
type owners struct {
	lock     sync.Mutex
	asked    []string
	busy     map[string]time.Duration
	canceled int
	// failing are the engines that fail, and how.
	failing map[string]error
	// slow is how much longer than expected each load takes.
	slow time.Duration
}

// loadTakes is the time of a load at an engine that has nothing else to do.
const loadTakes = 250 * time.Millisecond

func (o *owners) ensure(ctx context.Context, u *snipedirectory.Upstream, _ snipecatalog.Adapter, version int64, patience time.Duration) (int64, error) {
	o.lock.Lock()
	o.asked = append(o.asked, u.ID)
	wait, failure := o.busy[u.ID], o.failing[u.ID]
	o.lock.Unlock()
	if failure != nil {
		return 0, failure
	}
	if wait > patience {
		return 0, &snipeadapter.BusyError{Wait: wait}
	}
	select {
	case <-time.After(wait + loadTakes + o.slow):
		return max(version, 1), nil
	case <-ctx.Done():
		o.lock.Lock()
		defer o.lock.Unlock()
		o.canceled++
		return 0, ctx.Err()
	}
}

// questions returns how often owners were asked.
func (o *owners) questions() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	return len(o.asked)
}

func newChooser(o *owners, engines int) *snipegateway.Chooser {
	c := &snipegateway.Chooser{
		Directory: &snipedirectory.Keeper{}, Balancer: &snipebalance.Balancer{},
		Residency: &snipeadapter.Residency{}, Signals: &snipesignal.Book{}, Versions: &snipecatalog.Keeper{},
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

const objective = 600 * time.Millisecond

// TestOneLoadForAll answers the pattern of a cold start: many callers ask for one
// adapter at once. One load serves them all, and the next ones find it.
func TestOneLoadForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owners{}
		c := newChooser(o, 12)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				choice, err := c.Choose(t.Context(), service, request, nil, objective)
				must.NoError(t, err)
				must.Eq(t, 250*time.Millisecond, choice.Waited)
			})
		}
		all.Wait()
		must.Len(t, 1, o.asked)
		choice, err := c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		must.Eq(t, o.asked[0], choice.Upstream.ID)
		must.Eq(t, 0, choice.Waited)
	})
}

// TestSecondInRank answers the pattern of uneven load: the adapter's first engine has
// more loads queued than it does at once, another one has not.
func TestSecondInRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owners{}
		c := newChooser(o, 12)
		first, err := c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		home := first.Upstream.ID
		c = newChooser(o, 12)
		o.asked, o.busy = nil, map[string]time.Duration{home: 500 * time.Millisecond}
		choice, err := c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		must.NotEq(t, home, choice.Upstream.ID)
		must.Eq(t, []string{home, choice.Upstream.ID}, o.asked)
	})
}

// TestDeadEngines answers the pattern of a crash that takes a quarter of the engines:
// those in rank that do not answer are passed over, and one that takes no connection is
// not asked again for a while.
func TestDeadEngines(t *testing.T) {
	const count = 12
	tests := map[string]struct {
		dead      int
		failure   error
		questions int // of a second request for another adapter
	}{
		"NoConnection": {5, snipeadapter.ErrUnreached, 1},
		"NoOwner":      {5, snipeadapter.ErrNotOwner, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &owners{failing: map[string]error{}}
				c := newChooser(o, count)
				for _, u := range c.RankedForTest(service, request.Adapter)[:tt.dead] {
					o.failing[u] = tt.failure
				}
				_, err := c.Choose(t.Context(), service, request, nil, objective)
				must.NoError(t, err)
				must.Eq(t, tt.dead+1, o.questions())
				c.Residency.Forget(o.asked[tt.dead])
				_, err = c.Choose(t.Context(), service, request, nil, objective)
				must.NoError(t, err)
				must.Eq(t, tt.questions, o.questions()-tt.dead-1)
			})
		})
	}
}

// TestOldVersionEnds: a request may wait for seconds in an engine's queue before it
// begins, so one is sent to an engine with the former version only for a short while
// after the announcement.
func TestOldVersionEnds(t *testing.T) {
	const begunBy, queued, learned = 5 * time.Second, 1800 * time.Millisecond, 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		o := &owners{}
		c := newChooser(o, 12)
		_, err := c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		must.True(t, c.Versions.Announce(request.Adapter, 2))
		choice, err := c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		must.Eq(t, 1, choice.Version)
		time.Sleep(begunBy - queued - learned)
		choice, err = c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		must.Eq(t, 2, choice.Version)
	})
}

// TestRefusedAtOnce answers the pattern of a storm: no engine can load the adapter
// within the objective. The caller hears at once when there is room.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owners{busy: map[string]time.Duration{}}
		for n := range 12 {
			o.busy[fmt.Sprint("e", n)] = 2 * time.Second
		}
		begun := time.Now()
		_, err := newChooser(o, 12).Choose(t.Context(), service, request, nil, objective)
		f := snipeerror.From(err)
		must.Eq(t, snipeerror.NotRun, f.Outcome)
		must.Eq(t, 2*time.Second, f.RetryAfter)
		must.Eq(t, 0, time.Since(begun))
	})
}

// TestQuestionTakenBack: when all callers have left, the owner is told.
func TestQuestionTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owners{}
		c := newChooser(o, 3)
		var all sync.WaitGroup
		for n := range 3 {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n+1)*50*time.Millisecond)
				defer cancel()
				_, err := c.Choose(ctx, service, request, nil, objective)
				must.Error(t, err)
			})
		}
		all.Wait()
		synctest.Wait()
		must.Eq(t, 1, o.canceled)
	})
}

// TestReplicas: an adapter that all instances together use often comes onto more
// engines, a rare one does not. Those that report its use learn where else it is.
func TestReplicas(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		want      int
	}{"Rare": {2, 1}, "Often": {16, 2}, "Hot": {70, 5}, "Hottest": {400, 12}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &owners{}
				c := newChooser(o, 12)
				choice, err := c.Choose(t.Context(), service, request, nil, objective)
				must.NoError(t, err)
				home := choice.Upstream
				for range 10 {
					share := tt.perSecond / float64(o.questions())
					c.Spread(home, map[snipecatalog.Adapter]float64{request.Adapter: share})
					time.Sleep(300 * time.Millisecond)
				}
				must.Eq(t, tt.want, o.questions())
				must.Len(t, tt.want-1, c.Replicas(request.Adapter, home.ID))
				time.Sleep(4 * time.Second)
				must.SliceEmpty(t, c.Replicas(request.Adapter, home.ID))
			})
		})
	}
}
