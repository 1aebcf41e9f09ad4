package snipedispatch

import (
	"context"
	"net/http"
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
	"snipepitch.example/snipepitch/snipeslot"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
	"snipepitch.example/snipepitch/snipeweight"
)

// owned is a dispatcher that owns one stand-in engine while held says so.
type owned struct {
	*Dispatcher
	held   atomic.Bool
	tree   atomic.Pointer[snipetree.Tree]
	client *snipeupstream.Engine
}

// standEngine starts a stand-in engine and returns where.
func standEngine(t *testing.T) netip.AddrPort {
	t.Helper()
	stand := &snipestand.Engine{Slots: 2, Batch: 2, TokenTime: time.Millisecond, ChecksFence: true}
	server := httptest.NewServer(stand.Handler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// declare puts settings of the engine in force.
func (o *owned) declare(address netip.AddrPort, slots int) {
	o.tree.Store(snipetree.NewTree(1, &snipetree.Platform{Engines: map[string]snipetree.Engine{
		"e1": {Address: address, Base: "base-1", Slots: slots, Batch: 2, ChecksFence: true},
	}}, nil))
}

func newOwned(t *testing.T) *owned {
	t.Helper()
	address := standEngine(t)
	client := &http.Client{}
	o := &owned{client: &snipeupstream.Engine{Name: "e1", Address: address, Client: client, Fresh: client}}
	o.declare(address, 2)
	o.held.Store(true)
	o.Dispatcher = &Dispatcher{
		Tree:  o.tree.Load,
		Fence: func(string) (uint64, bool) { return 1, true },
		Holds: func(string, uint64) bool { return o.held.Load() },
		Budget: func(context.Context, *snipeweight.Demand) (func(bool), error) {
			return func(bool) {}, nil
		},
		Client: client, Fresh: client, Progress: time.Minute, FirstChunk: time.Minute,
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

// TestEngineIsEdited: an accepted edit of an owned engine comes into force with
// the ownership as it is: another number of slots at once, another address as
// soon as the calls at the former one have ended.
func TestEngineIsEdited(t *testing.T) {
	o := newOwned(t)
	former, err := o.engine("e1")
	must.NoError(t, err)
	o.declare(o.client.Address, 5)
	same, err := o.engine("e1")
	must.NoError(t, err)
	must.Eq(t, former, same)
	must.Eq(t, 5, same.slots.Capacity)
	use, err := same.slots.Acquire(t.Context(), snipeslot.Request{
		Adapter: snipecall.Adapter{Team: "t", Name: "a", Version: "1"}, Path: "p",
	})
	must.NoError(t, err)
	address := standEngine(t)
	o.declare(address, 5)
	_, err = o.engine("e1")
	must.ErrorIs(t, err, snipeerror.ErrNoUpstream)
	must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
	use.Release()
	next, err := o.engine("e1")
	must.NoError(t, err)
	must.Eq(t, address, next.client.Address)
}
