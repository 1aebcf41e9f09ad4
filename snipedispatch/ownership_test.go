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

// ownerFixture is a dispatcher that owns one stand-in engine while held is true.
type ownerFixture struct {
	*Dispatcher
	held   atomic.Bool
	tree   atomic.Pointer[snipetree.Tree]
	client *snipeupstream.Engine
}

// startEngine starts a stand-in engine and returns its address.
func startEngine(t *testing.T) netip.AddrPort {
	t.Helper()
	standIn := &snipestand.Engine{Slots: 2, Batch: 2, TokenTime: time.Millisecond, ChecksFence: true}
	server := httptest.NewServer(standIn.Handler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// declare puts settings in force that give the engine an address and a number of
// slots.
func (o *ownerFixture) declare(address netip.AddrPort, slots int) {
	o.tree.Store(snipetree.NewTree(1, &snipetree.Platform{Engines: map[string]snipetree.Engine{
		"e1": {Address: address, Base: "base-1", Slots: slots, Batch: 2, ChecksFence: true},
	}}, nil))
}

func newOwnerFixture(t *testing.T) *ownerFixture {
	t.Helper()
	address := startEngine(t)
	client := &http.Client{}
	o := &ownerFixture{client: &snipeupstream.Engine{Name: "e1", Address: address, Pooled: client, Fresh: client}}
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

// TestOwnershipEndsDuringCall checks the answer of a call that outlasts the ownership. The answer
// is passed on as complete only if the engine still lists the alias at the last chunk. If a
// successor has evicted it, the call ends with ErrIncomplete.
func TestOwnershipEndsDuringCall(t *testing.T) {
	for name, c := range map[string]struct {
		evicted bool
		want    error
	}{
		"adapter still there":    {},
		"evicted by a successor": {evicted: true, want: snipeerror.ErrIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwnerFixture(t)
			complete := false
			sink := func(k snipecall.Chunk) error {
				complete = complete || k.Last
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
			must.Eq(t, !c.evicted, complete)
		})
	}
}

// TestOrdersNeedOwnership checks that no order is sent after the ownership is lost, since it would
// race with the orders of the next owner.
func TestOrdersNeedOwnership(t *testing.T) {
	o := newOwnerFixture(t)
	e, err := o.engine("e1")
	must.NoError(t, err)
	must.NoError(t, e.slots.Open(t.Context()))
	o.held.Store(false)
	must.ErrorIs(t, e.slots.Load(t.Context(), "t/a@1#1.1.1", "p"), errNotHeld)
	names, err := o.client.Aliases(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, names)
}

// TestEngineSettingsChange checks that changed settings of an owned engine take effect without a new
// ownership: the number of slots at once, and the address as soon as the calls at the previous
// address have ended. Until then, new calls are refused as NotRun.
func TestEngineSettingsChange(t *testing.T) {
	o := newOwnerFixture(t)
	previous, err := o.engine("e1")
	must.NoError(t, err)
	o.declare(o.client.Address, 5)
	same, err := o.engine("e1")
	must.NoError(t, err)
	must.Eq(t, previous, same)
	must.Eq(t, 5, same.slots.Capacity)
	use, err := same.slots.Acquire(t.Context(), snipeslot.Request{
		Adapter: snipecall.Adapter{Team: "t", Name: "a", Version: "1"}, Path: "p",
	})
	must.NoError(t, err)
	address := startEngine(t)
	o.declare(address, 5)
	_, err = o.engine("e1")
	must.ErrorIs(t, err, snipeerror.ErrNoUpstream)
	must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
	use.Release()
	next, err := o.engine("e1")
	must.NoError(t, err)
	must.Eq(t, address, next.client.Address)
}
