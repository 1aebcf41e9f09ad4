package snipegateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipesignal"
)

// TestSignalWhileWaiting guards against a request that is sent to the engine for whose load it
// waited although that engine has meanwhile signaled that it takes no requests: the request must go
// to another engine.
func TestSignalWhileWaiting(t *testing.T) {
	tests := map[string]func(c *snipegateway.Chooser, engine string){
		"Leaves": func(c *snipegateway.Chooser, engine string) { c.Directory.MarkLeaving(engine) },
		"Rests": func(c *snipegateway.Chooser, engine string) {
			c.Signals.Record(engine, time.Now(), snipesignal.Signal{Backoff: time.Minute})
		},
		"LimitReached": func(c *snipegateway.Chooser, engine string) {
			c.Signals.Record(engine, time.Now(), snipesignal.Signal{Limit: 0.1, Limited: true})
		},
	}
	for name, signal := range tests {
		t.Run(name, func(t *testing.T) {
			o := &fakeOwners{}
			c := newChooser(o, 2)
			g, _ := newGateway(t, c, nil, nil)
			g.Catalog.Catalog().Services[service].Engine = &snipecatalog.Engine{}
			g.Catalog.Catalog().Routes[0].Target = 2 * time.Second
			g.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
				return snipegateway.Request{ID: "1", Adapter: request.Adapter}, nil
			}
			var reached []string
			prepare := g.Protocol.Prepare
			g.Protocol.Prepare = func(h http.Header, d snipegateway.Dispatch) {
				reached = append(reached, d.Upstream.ID)
				prepare(h, d)
			}
			first := ""
			c.Ensure = func(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error) {
				if first == "" {
					first = u.ID
					defer signal(c, u.ID)
				}
				return o.ensure(ctx, u, a, version, d)
			}
			must.Eq(t, http.StatusOK, sendRequest(g).Code)
			must.Len(t, 1, reached)
			must.NotEq(t, first, reached[0])
		})
	}
}

// TestDeadlineOfOther guards against a request that shares the load request of one with less time, and
// that passes the engine over when the time of that one has passed.
func TestDeadlineOfOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{extraTime: time.Second}
		c := newChooser(o, 4)
		c.Ensure = func(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error) {
			// As the owner does, which counts the time from the arrival of the message.
			ctx, cancel := context.WithTimeout(ctx, time.Millisecond+d.Deadline)
			defer cancel()
			return o.ensure(ctx, u, a, version, d)
		}
		var all sync.WaitGroup
		choose := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := c.Choose(ctx, service, request, nil, 2*time.Second)
			return err
		}
		all.Go(func() { must.Error(t, choose(300*time.Millisecond)) })
		time.Sleep(100 * time.Millisecond)
		all.Go(func() { must.NoError(t, choose(5*time.Second)) })
		all.Wait()
		must.Eq(t, o.requested[0], o.requested[1])
		must.Len(t, 2, o.requested)
	})
}

// TestEndedBeforeLoad guards against a request whose time has passed before any owner is asked, because
// those that it would ask are known to be busy.
func TestEndedBeforeLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{busy: map[string]time.Duration{"e0": time.Minute, "e1": time.Minute, "e2": time.Minute}}
		c := newChooser(o, 3)
		_, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.Error(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = c.Choose(ctx, service, request, nil, latencyTarget)
		must.Error(t, err)
	})
}
