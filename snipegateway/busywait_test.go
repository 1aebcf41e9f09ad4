package snipegateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipegateway"
)

// TestKnownBusyOwners guards against a request that asks one owner after the other although all of
// them have just refused such a load, and against one that is refused although it might be served:
// because it is more urgent than those that were refused, waits longer, is for an adapter that an
// engine loads from its own memory, or comes later. It answers the peak in which 1,930 of 29,400
// requests were refused after three owners had been asked.
func TestKnownBusyOwners(t *testing.T) {
	tests := map[string]struct {
		priority int
		maxWait  time.Duration
		after    time.Duration
		previous bool
		asked    bool
	}{
		"Same":        {1, time.Second, 10 * time.Millisecond, false, false},
		"LessUrgent":  {2, time.Second, 10 * time.Millisecond, false, false},
		"MoreUrgent":  {0, time.Second, 10 * time.Millisecond, false, true},
		"WaitsLonger": {1, 3 * time.Second, 10 * time.Millisecond, false, true},
		"Later":       {1, time.Second, 150 * time.Millisecond, false, true},
		"Reload":      {1, time.Second, 10 * time.Millisecond, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &fakeOwners{busy: map[string]time.Duration{"e0": 1500 * time.Millisecond, "e1": 1200 * time.Millisecond, "e2": 2 * time.Second}}
				c := newChooser(o, 3)
				first := &snipegateway.Request{Adapter: request.Adapter, Priority: 1}
				_, err := c.Choose(t.Context(), service, first, nil, time.Second)
				must.ErrorIs(t, err, snipeerror.ErrLoadFailed)
				asked := o.requestCount()
				must.Eq(t, 3, asked)
				time.Sleep(tt.after)
				q := &snipegateway.Request{Adapter: snipecatalog.Adapter{Model: "base", Name: "a2"}, Priority: tt.priority}
				if tt.previous {
					c.Residency.RecordHeld("e0", q.Adapter, 1)
					c.Residency.RecordAbsent("e0", q.Adapter)
				}
				_, err = c.Choose(t.Context(), service, q, nil, tt.maxWait)
				must.Eq(t, tt.asked, o.requestCount() > asked)
				if !tt.asked {
					must.ErrorIs(t, err, snipeerror.ErrLoadFailed)
					must.Eq(t, 1200*time.Millisecond-tt.after, snipeerror.From(err).RetryAfter)
					must.StrContains(t, err.Error(), "named 10ms ago")
				}
			})
		})
	}
}

// TestRefusalNamesLeastWait guards against a refusal that names the time of the last owner that was
// asked, which may be the longest.
func TestRefusalNamesLeastWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{busy: map[string]time.Duration{"e0": 1500 * time.Millisecond, "e1": 1200 * time.Millisecond, "e2": 2 * time.Second}}
		c := newChooser(o, 3)
		_, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.Eq(t, 1200*time.Millisecond, snipeerror.From(err).RetryAfter)
	})
}

// TestUrgentRequestIsHeard guards against an urgent request that joins the load request of a less
// urgent one of the same instance, so that the owner does not learn of it.
func TestUrgentRequestIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 1)
		for p := range 3 {
			for range 2 {
				go func() {
					q := &snipegateway.Request{Adapter: request.Adapter, Priority: 2 - p}
					_, err := c.Choose(t.Context(), service, q, nil, latencyTarget)
					must.NoError(t, err)
				}()
				synctest.Wait()
			}
		}
		must.Eq(t, 3, o.requestCount())
		time.Sleep(time.Second)
	})
}

// TestDemandOfRequest guards against an owner that is told another priority, workspace or time left
// than the request has.
func TestDemandOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 1)
		q := &snipegateway.Request{Adapter: request.Adapter, Priority: 2, Workspace: "w", PromptTokens: 9000, Target: time.Now().Add(time.Second)}
		_, err := c.Choose(t.Context(), service, q, nil, 600*time.Millisecond)
		must.NoError(t, err)
		must.Eq(t, []snipeadapter.Demand{{
			MaxWait: 400 * time.Millisecond, Priority: 2, Workspace: "w", Target: time.Second, PromptTokens: 9000,
		}}, o.demands)
	})
}
