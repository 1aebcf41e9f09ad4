package snipeentry

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
)

// storePath describes an instance's connection to the store, and the outcome of a write on it.
type storePath struct {
	err  error
	took time.Duration
	// applies reports whether the write takes effect, whatever is answered.
	applies bool
}

var (
	goodPath    = storePath{took: 5 * time.Millisecond, applies: true}
	slowPath    = storePath{took: 400 * time.Millisecond, applies: true}
	refusedPath = storePath{err: snipeplatform.ErrUnavailable, took: 2 * time.Millisecond}
	silentPath  = storePath{err: snipeplatform.ErrUnknown, took: time.Minute}
	lostPath    = storePath{err: snipeplatform.ErrUnknown, took: time.Minute, applies: true}
)

// storeTimeout bounds a call to the store, as the store's client does.
const storeTimeout = 1200 * time.Millisecond

// rowStore is a store of one row, which counts the writes and the calls.
type rowStore struct {
	version uint64
	writes  int
	calls   map[netip.AddrPort]int
}

func (s *rowStore) via(w storePath, peer netip.AddrPort) writeFunc {
	return func(ctx context.Context, _ string, changes []snipeplatform.Change) (uint64, error) {
		s.calls[peer]++
		err := w.err
		if w.applies {
			if changes[0].Expect == s.version {
				s.version++
				s.writes++
			} else if err == nil {
				err = snipeplatform.ErrConflict
			}
		}
		version := s.version
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		select {
		case <-time.After(w.took):
		case <-ctx.Done():
		}
		return version, err
	}
}

// TestRelay covers outages in which the store refuses or does not answer the writes of an instance
// that reaches other instances. Another instance makes the renewals, in time for the next one. If
// the store answers no instance, the renewals fail. In all cases, no renewal takes effect twice,
// and the instance itself calls the store at most once for each renewal.
func TestRelay(t *testing.T) {
	const renewals, every = 8, time.Second
	tests := map[string]struct {
		self   storePath
		others []storePath
		// renewed is the number of renewals that succeed in time for the next one; one fewer is
		// accepted.
		renewed int
	}{
		"Reached":         {goodPath, []storePath{refusedPath}, renewals},
		"Refused":         {refusedPath, []storePath{goodPath, goodPath}, renewals},
		"Silent":          {silentPath, []storePath{goodPath, goodPath}, renewals},
		"OneOtherIsCut":   {refusedPath, []storePath{goodPath, silentPath}, renewals},
		"LostAnswers":     {lostPath, []storePath{goodPath, goodPath}, 0},
		"RefusesAll":      {refusedPath, []storePath{refusedPath, refusedPath, refusedPath}, 0},
		"AnswersNobody":   {silentPath, []storePath{silentPath, silentPath, silentPath}, 0},
		"NobodyIsKnown":   {refusedPath, nil, 0},
		"OthersAreSilent": {goodPath, []storePath{silentPath}, renewals},
		"SlowToAll":       {slowPath, []storePath{slowPath, slowPath}, renewals},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &rowStore{calls: map[netip.AddrPort]int{}}
				servers := map[netip.AddrPort]*ownershipServer{}
				var others []netip.AddrPort
				for n, w := range tt.others {
					r := &relay{Direct: s.via(w, peer(n+1)), OnLost: func(error) {}, OnRecovered: func() {}}
					servers[peer(n+1)] = &ownershipServer{relay: r}
					others = append(others, peer(n+1))
				}
				r := &relay{
					Direct: s.via(tt.self, peer(0)), Peers: func() []netip.AddrPort { return others },
					AskPeer: func(ctx context.Context, to netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
						return serveWrite(ctx, servers[to], operation, changes)
					},
					OnLost: func(error) {}, OnRecovered: func() {}, Owns: func() bool { return true },
				}
				renewed, known := 0, uint64(0)
				for range renewals {
					begun := time.Now()
					change := snipeplatform.Change{Key: snipeplatform.Key{Partition: snipeowner.Partition, Sort: "instance/a"}, Expect: known, Data: []byte("{}")}
					version, err := r.Write(t.Context(), "", []snipeplatform.Change{change})
					if err == nil {
						renewed++
						known = version
						must.Less(t, storeTimeout+relayTimeout, time.Since(begun))
					}
					time.Sleep(every - time.Since(begun))
				}
				must.Between(t, max(tt.renewed-1, 0), renewed, max(tt.renewed, 0))
				must.LessEq(t, renewals, s.writes)
				if tt.self.err == nil {
					must.Eq(t, renewals, s.calls[peer(0)])
				} else {
					must.Less(t, renewals+1, s.calls[peer(0)])
				}
			})
		})
	}
}

// serveWrite passes a write to another instance, as the instance's client does.
func serveWrite(ctx context.Context, s *ownershipServer, operation string, changes []snipeplatform.Change) (uint64, error) {
	r := &snipeproto.OwnershipWriteRequest{Operation: operation}
	for _, c := range changes {
		r.Changes = append(r.Changes, &snipeproto.OwnershipChange{Row: c.Sort, Expect: c.Expect, Data: c.Data})
	}
	answer, err := s.Write(ctx, r)
	if err != nil {
		return 0, snipeplatform.ErrUnknown
	}
	if answer.GetVersion() == 0 {
		return 0, snipeplatform.ErrConflict
	}
	return answer.GetVersion(), nil
}

// TestSlowStore guards against an instance that makes writes for others while the store is slow to
// it. These writes would be as slow, and would add to the load of an overloaded store.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &rowStore{calls: map[netip.AddrPort]int{}}
		r := &relay{Direct: s.via(slowPath, peer(1)), OnLost: func(error) {}, OnRecovered: func() {}}
		server := &ownershipServer{relay: r}
		change := snipeplatform.Change{Key: snipeplatform.Key{Partition: snipeowner.Partition, Sort: "instance/a"}, Data: []byte("{}")}
		must.True(t, r.AcceptsWrites())
		_, err := r.writeDirect(t.Context(), "", []snipeplatform.Change{change})
		must.NoError(t, err)
		for range 10 {
			_, err = serveWrite(t.Context(), server, "", []snipeplatform.Change{change})
			must.Error(t, err)
		}
		must.Eq(t, 1, s.calls[peer(1)])
		time.Sleep(slowStorePause)
		must.True(t, r.AcceptsWrites())
	})
}

// TestRelayedRows checks that an instance rejects a write for another instance with no or too many
// changes, and that after a write that the store did not answer it rejects such writes without a
// call to the store.
func TestRelayedRows(t *testing.T) {
	s := &rowStore{calls: map[netip.AddrPort]int{}}
	server := &ownershipServer{relay: &relay{Direct: s.via(refusedPath, peer(1)), OnLost: func(error) {}, OnRecovered: func() {}}}
	_, err := server.Write(t.Context(), &snipeproto.OwnershipWriteRequest{})
	must.Error(t, err)
	many := &snipeproto.OwnershipWriteRequest{}
	for range maxRelayedChanges + 1 {
		many.Changes = append(many.Changes, &snipeproto.OwnershipChange{Row: "a"})
	}
	_, err = server.Write(t.Context(), many)
	must.Error(t, err)
	must.Eq(t, 0, s.calls[peer(1)])
	many.Changes = many.Changes[:1]
	for range 3 {
		_, err = server.Write(t.Context(), many)
		must.Error(t, err)
	}
	must.Eq(t, 1, s.calls[peer(1)], must.Sprint("the store is known to be lost after the first write"))
	must.False(t, server.relay.AcceptsWrites())
	server.relay.lastWriteAt = server.relay.lastWriteAt.Add(-time.Minute)
	must.False(t, server.relay.AcceptsWrites(), must.Sprint("the store stays lost until a write is answered"))
}

// TestOrderDenied guards against requests that wait for an engine whose owner has no right to order
// it. The engine is avoided for a while, so that adapters are loaded on another one at once.
func TestOrderDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{}
		must.True(t, p.ownerMayOrder(peer(1)))
		p.noteOrderDenied(peer(1))
		must.False(t, p.ownerMayOrder(peer(1)))
		must.True(t, p.ownerMayOrder(peer(2)))
		time.Sleep(orderDeniedPause)
		must.True(t, p.ownerMayOrder(peer(1)))
		p.noteOrderDenied(peer(2))
		must.MapLen(t, 1, p.orderDenied)
	})
}
