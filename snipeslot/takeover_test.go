package snipeslot

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// use acquires an adapter, makes a call at the engine and releases the adapter.
func use(t *testing.T, f *fakeEngine, s *Slots, name, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for {
		u, err := s.Acquire(ctx, request(name, path))
		must.NoError(t, err)
		if !f.beginCall(u.Alias, path) {
			s.Forget(u.Alias)
			u.Release()
			continue
		}
		f.endCall(u.Alias)
		u.Release()
		return
	}
}

// takeoverCase is one state in which a new owner may find the engine.
type takeoverCase struct {
	// before runs at the old owner, after at the new one.
	before func(t *testing.T, f *fakeEngine, old *Slots)
	after  func(t *testing.T, f *fakeEngine, s *Slots)
	loads  int // expected number of load orders; -1 is not checked
}

var takeovers = map[string]takeoverCase{
	"slots full of the old owner's aliases": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) { use(t, f, old, "a", "p"); use(t, f, old, "b", "p") },
		after:  func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "c", "p"); use(t, f, s, "d", "p") },
		loads:  4,
	},
	"resident adapters are adopted": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) { use(t, f, old, "a", "p") },
		after:  func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "a", "p") },
		loads:  1,
	},
	"a version whose path was changed is loaded again": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) { use(t, f, old, "a", "p") },
		after:  func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "a", "q") },
		loads:  2,
	},
	"restarted empty": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			use(t, f, old, "a", "p")
			use(t, f, old, "b", "p")
			f.restart()
			use(t, f, old, "a", "p")
			synctest.Wait()
			must.Eq(t, 1, len(old.Resident()))
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "a", "p") },
		loads: 3,
	},
	"reply of a load lost": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			use(t, f, old, "a", "p")
			injectOnce(f, faultReplyLost)
			_, err := old.Acquire(t.Context(), request("b", "p"))
			must.ErrorIs(t, err, ErrLoad)
			use(t, f, old, "c", "p")
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "c", "p") },
		loads: 3,
	},
	"reply of an unload lost": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			use(t, f, old, "a", "p")
			use(t, f, old, "b", "p")
			injectOnce(f, faultReplyLost)
			use(t, f, old, "c", "p")
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "c", "p") },
		loads: 3,
	},
	"order to unload lost on its way": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			use(t, f, old, "a", "p")
			use(t, f, old, "b", "p")
			injectOnce(f, faultRequestLost)
			use(t, f, old, "c", "p")
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) { use(t, f, s, "c", "p") },
		loads: 3,
	},
	"given-up orders to load and unload come late": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			must.NoError(t, old.Open(t.Context()))
			injectOnce(f, faultDelayed)
			f.lateDelay = 30 * time.Second
			go func() { _, _ = old.Acquire(t.Context(), request("b", "p")) }()
			time.Sleep(fakeLoadTime + time.Millisecond)
			use(t, f, old, "a", "p")
			use(t, f, old, "c", "p")
			use(t, f, old, "d", "p") // evicts, and commits the list of retired aliases again
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) {
			f.restart()
			time.Sleep(time.Minute) // the late load is carried out; an order to unload may follow
			must.NoError(t, s.Open(t.Context()))
			synctest.Wait()
			must.Eq(t, f.checksFence, slices.Contains(s.Resident(), adapter("b")))
		},
		loads: -1,
	},
	"order to unload comes late": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			use(t, f, old, "a", "p")
			use(t, f, old, "b", "p")
			injectOnce(f, faultSenderFrozen) // the old owner freezes in the middle of an eviction
			go func() { _, _ = old.Acquire(t.Context(), request("c", "p")) }()
			synctest.Wait()
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) {
			u, err := s.Acquire(t.Context(), request("a", "p"))
			must.NoError(t, err)
			must.True(t, f.beginCall(u.Alias, "p"))
			time.Sleep(time.Minute) // the late order is carried out
			must.True(t, f.has(u.Alias))
			f.endCall(u.Alias)
			u.Release()
		},
		loads: -1,
	},
	"a call of the old owner is under way": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			u, err := old.Acquire(t.Context(), request("a", "p"))
			must.NoError(t, err)
			must.True(t, f.beginCall(u.Alias, "p"))
			time.AfterFunc(30*time.Second, func() { f.endCall(u.Alias) })
			use(t, f, old, "b", "p")
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) {
			use(t, f, s, "c", "p")
			use(t, f, s, "d", "p")
			use(t, f, s, "c", "p")
		},
		loads: 5,
	},
	"a load of the old owner comes late": {
		before: func(t *testing.T, f *fakeEngine, old *Slots) {
			use(t, f, old, "a", "p")
			injectOnce(f, faultSenderFrozen)
			go func() { _, _ = old.Acquire(t.Context(), request("b", "p")) }()
			time.Sleep(time.Second)
		},
		after: func(t *testing.T, f *fakeEngine, s *Slots) {
			use(t, f, s, "c", "p")
			time.Sleep(time.Minute)
			use(t, f, s, "d", "p")
			use(t, f, s, "e", "p")
		},
		loads: -1,
	},
}

// injectOnce injects a fault into the next order.
func injectOnce(f *fakeEngine, kind fault) {
	f.nextFault = func() fault {
		f.nextFault = func() fault { return faultNone }
		return kind
	}
}

// TestTakeover checks that a new owner serves calls in each state that an old
// owner may have left, without loading an alias twice, evicting one during a call
// or serving another path, and that the engine carries out the expected number of
// load orders.
func TestTakeover(t *testing.T) {
	for name, c := range takeovers {
		for kind, checks := range map[string]bool{"engine refuses old numbers": true, "engine ignores numbers": false} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeEngine(2, checks)
					owners := newFakeOwners(f)
					old := owners.takeOver()
					c.before(t, f, old)
					s := owners.takeOver()
					c.after(t, f, s)
					time.Sleep(time.Hour)
					old.Close()
					s.Close()
					must.Eq(t, "", f.violation)
					if c.loads >= 0 {
						must.Eq(t, c.loads, f.loads)
					}
				})
			})
		}
	}
}

// TestEditedPath checks that a version whose path changes while it is resident
// is loaded from the new path before the next call, and that a call in flight
// keeps the alias of the old path.
func TestEditedPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(2, true)
		s := newFakeOwners(f).takeOver()
		inFlight, err := s.Acquire(t.Context(), request("a", "p"))
		must.NoError(t, err)
		must.True(t, f.beginCall(inFlight.Alias, "p"))
		use(t, f, s, "a", "q")
		must.True(t, f.has(inFlight.Alias))
		f.endCall(inFlight.Alias)
		inFlight.Release()
		use(t, f, s, "a", "q")
		s.Close()
		must.Eq(t, "", f.violation)
		must.Eq(t, 2, f.loads)
	})
}
