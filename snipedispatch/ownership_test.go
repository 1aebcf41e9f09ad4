package snipedispatch

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
	"snipepitch.example/snipepitch/snipeweight"
)

// owned is a dispatcher that owns one stand-in engine while held says so.
type owned struct {
	*Dispatcher
	held   atomic.Bool
	client *snipeupstream.Engine
}

func newOwned(t *testing.T) *owned {
	t.Helper()
	stand := &snipestand.Engine{Slots: 2, Batch: 2, TokenTime: time.Millisecond, ChecksFence: true}
	server := httptest.NewServer(stand.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	tree := snipetree.NewTree(1, &snipetree.Platform{Engines: map[string]snipetree.Engine{
		"e1": {Address: address, Base: "base-1", Slots: 2, Batch: 2, ChecksFence: true},
	}}, nil)
	o := &owned{client: &snipeupstream.Engine{Name: "e1", Address: address, Client: server.Client(), Fresh: server.Client()}}
	o.held.Store(true)
	o.Dispatcher = &Dispatcher{
		Tree:  func() *snipetree.Tree { return tree },
		Fence: func(string) (uint64, bool) { return 1, true },
		Holds: func(string, uint64) bool { return o.held.Load() },
		Budget: func(context.Context, *snipeweight.Demand) (func(bool), error) {
			return func(bool) {}, nil
		},
		Client: server.Client(), Fresh: server.Client(), Progress: time.Minute, FirstChunk: time.Minute,
		LoadTimeout: time.Minute, Meter: snipemeter.New(), Log: snipelog.Discard(),
	}
	return o
}

// TestOwnershipEndsDuringCall: an answer that ends after the ownership is whole
// only if nobody can have evicted the adapter meanwhile.
func TestOwnershipEndsDuringCall(t *testing.T) {
	for name, c := range map[string]struct {
		evicted bool
		want    error
	}{
		"adapter still there":    {},
		"evicted by a successor": {evicted: true, want: snipeerror.ErrIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwned(t)
			whole := false
			sink := func(k snipecall.Chunk) error {
				whole = whole || k.Last
				if k.Sequence != 1 {
					return nil
				}
				o.held.Store(false)
				if !c.evicted {
					return nil
				}
				names, err := o.client.Aliases(t.Context())
				must.NoError(t, err)
				return o.client.Unload(t.Context(), names[0], 2)
			}
			err := o.Run(t.Context(), &snipecall.Call{
				ID: "1", Team: "t", Adapter: snipecall.Adapter{Team: "t", Name: "a", Version: "1"}, Base: "base-1",
				WeightPath: "p", Method: "POST", Path: snipeupstream.CompletionsPath, Stream: true, Upstream: "e1",
				Body: []byte(`{"prompt":"x","max_tokens":50}`), Deadline: time.Now().Add(time.Minute),
			}, sink)
			must.ErrorIs(t, err, c.want)
			must.Eq(t, !c.evicted, whole)
		})
	}
}

// TestOrdersNeedOwnership: an order is not sent once the ownership is lost.
func TestOrdersNeedOwnership(t *testing.T) {
	o := newOwned(t)
	e, err := o.engine("e1")
	must.NoError(t, err)
	must.NoError(t, e.slots.Open(t.Context()))
	o.held.Store(false)
	must.ErrorIs(t, e.slots.Load(t.Context(), "t/a@1#1.1.1", "p"), errNotHeld)
	names, err := o.client.Aliases(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, names)
}
