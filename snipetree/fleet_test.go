package snipetree_test

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetree"
)

// maxPropagationTime is the time within which a change must be in force everywhere.
const maxPropagationTime = 19 * time.Second

// fleet is a group of instances with one table and a network between peers.
type fleet struct {
	t       *testing.T
	table   *snipestand.Table
	network *snipestand.PeerNetwork
	stores  []*snipetree.Store
	cancels []context.CancelFunc
	wait    sync.WaitGroup

	lock                 sync.Mutex // guards the fields below
	cut                  map[int]bool
	announced            uint64
	announcementsDropped bool
}

func peerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, table: tableWithPlatform(t), network: snipestand.NewPeerNetwork(time.Millisecond), cut: map[int]bool{}}
	for range size {
		f.add()
	}
	return f
}

func (f *fleet) add() {
	n := len(f.stores)
	s := &snipetree.Store{
		Table: f.tableOf(n), Poll: 5 * time.Second, Log: snipelog.Discard(), Operation: rand.Text,
		HTTP: f.network.From(peerAddress(n)),
		Peers: func(count int) []netip.AddrPort {
			var all []netip.AddrPort
			for k := 1; k <= count && k < len(f.stores); k++ {
				all = append(all, peerAddress((n+k)%len(f.stores)))
			}
			return all
		},
		AnnouncedRevision: func() uint64 { return f.recordAnnouncement(0) },
		Announce:          func(revision uint64) { f.recordAnnouncement(revision) },
	}
	f.network.Listen(peerAddress(n), s.Handler())
	f.stores = append(f.stores, s)
	f.cancels = append(f.cancels, nil)
}

// dropAnnouncements drops all further announcements.
func (f *fleet) dropAnnouncements() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.announcementsDropped = true
}

// recordAnnouncement records an announced revision, unless announcements are dropped, and returns
// the highest one recorded.
func (f *fleet) recordAnnouncement(revision uint64) uint64 {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.announcementsDropped {
		f.announced = max(f.announced, revision)
	}
	return f.announced
}

// tableOf returns the table of instance n, whose reads fail while the instance is cut off.
func (f *fleet) tableOf(n int) snipeplatform.Table {
	c := f.table.Client()
	get := c.Get
	c.Get = func(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
		f.lock.Lock()
		cut := f.cut[n]
		f.lock.Unlock()
		if cut {
			<-ctx.Done()
			return snipeplatform.Row{}, errors.Wrap(snipeplatform.ErrUnavailable, "cut")
		}
		return get(ctx, key)
	}
	return c
}

func (f *fleet) cutTable(n int, cut bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.cut[n] = cut
}

func (f *fleet) cutPeers(n int, cut bool) {
	for k := range f.stores {
		f.network.Cut(peerAddress(n), peerAddress(k), cut)
		f.network.Cut(peerAddress(k), peerAddress(n), cut)
	}
}

func (f *fleet) run(n int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancels[n] = cancel
	f.wait.Go(func() { must.NoError(f.t, f.stores[n].Run(ctx)) })
}

func (f *fleet) runAll() {
	for n := range f.stores {
		f.run(n)
	}
	time.Sleep(maxPropagationTime)
}

func (f *fleet) stop() {
	for _, c := range f.cancels {
		if c != nil {
			c()
		}
	}
	f.wait.Wait()
}

// edit applies an edit through the first instance.
func (f *fleet) edit() {
	s := f.stores[0]
	_, err := s.Apply(f.t.Context(), "t", s.BranchVersion("t"), []byte(teamBranch))
	must.NoError(f.t, err)
}

// outdated returns the instances that admit calls at a revision below want.
func (f *fleet) outdated(want uint64) []int {
	var all []int
	for n, s := range f.stores {
		if a := s.Admitting(); a != nil && a.Revision < want {
			all = append(all, n)
		}
	}
	return all
}

// TestPropagation guards against an instance that still admits calls at the previous
// revision 19 s after a change was accepted, because a fault of the table or of the network keeps
// the change from it.
func TestPropagation(t *testing.T) {
	const size = 9
	tests := map[string]struct {
		fault func(f *fleet)
		// admitting is the number of instances that admit calls in the end.
		admitting int
	}{
		"no fault":             {func(*fleet) {}, size},
		"nothing is announced": {func(f *fleet) { f.dropAnnouncements() }, size},
		"one cut from the table": {func(f *fleet) {
			f.cutTable(3, true)
		}, size},
		"one cut from the peers": {func(f *fleet) {
			f.cutPeers(3, true)
		}, size},
		"one cut from both": {func(f *fleet) {
			f.cutTable(3, true)
			f.cutPeers(3, true)
		}, size - 1},
		"all but one cut from the table": {func(f *fleet) {
			for n := 1; n < size; n++ {
				f.cutTable(n, true)
			}
		}, size},
		"stale reads":     {func(f *fleet) { f.table.SetFault(snipestand.TableFault{Stale: 3 * time.Second}) }, size},
		"table flaps":     {func(f *fleet) { f.table.SetFault(snipestand.TableFault{Flap: 2 * time.Second}) }, size},
		"throttled reads": {func(f *fleet) { f.table.SetFault(snipestand.TableFault{RefuseEvery: 3}) }, size},
		"slow table":      {func(f *fleet) { f.table.SetFault(snipestand.TableFault{Delay: time.Second}) }, size},
		"table down after": {func(f *fleet) {
			time.AfterFunc(time.Second, func() { f.table.SetFault(snipestand.TableFault{Down: true}) })
		}, size},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				defer f.stop()
				f.runAll()
				must.SliceEmpty(t, f.outdated(1))
				must.NotNil(t, f.stores[3].Admitting())
				tc.fault(f)
				f.editUntilAccepted()
				time.Sleep(maxPropagationTime)
				must.SliceEmpty(t, f.outdated(2))
				admitting := 0
				for _, s := range f.stores {
					if s.Admitting() != nil {
						admitting++
					}
				}
				must.Eq(t, tc.admitting, admitting)
			})
		})
	}
}

// editUntilAccepted repeats an edit as an operator does while the table has faults.
func (f *fleet) editUntilAccepted() {
	for range 100 {
		e := snipetree.Edit{ID: "edit", Team: "t", Document: []byte(teamBranch)}
		if _, err := f.stores[0].ApplyEdit(f.t.Context(), e); err == nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	f.t.Fatal("the edit was never accepted")
}

// TestNeverReverts guards against an instance that admits calls at a revision that was replaced
// more than FreshFor ago, after it was frozen, cut off or started during an outage.
func TestNeverReverts(t *testing.T) {
	const size = 5
	tests := map[string]struct {
		disturb func(f *fleet)
		// admits reports whether the fleet's last instance admits calls after disturb.
		admits bool
	}{
		"frozen and resumed": {func(f *fleet) {
			f.cancels[4]()
			time.Sleep(time.Minute)
			f.edit()
			time.Sleep(time.Minute)
			must.Nil(f.t, f.stores[4].Admitting())
			f.run(4)
			time.Sleep(time.Second)
		}, true},
		"frozen and resumed while the table is down": {func(f *fleet) {
			f.cancels[4]()
			f.edit()
			time.Sleep(time.Minute)
			f.table.SetFault(snipestand.TableFault{Down: true})
			f.run(4)
			time.Sleep(time.Second)
		}, true},
		"new while the table is down": {func(f *fleet) {
			f.edit()
			time.Sleep(maxPropagationTime)
			f.table.SetFault(snipestand.TableFault{Down: true})
			f.add()
			f.run(size)
			time.Sleep(time.Second)
		}, true},
		"new while the table is stale": {func(f *fleet) {
			time.Sleep(time.Hour)
			f.edit()
			time.Sleep(maxPropagationTime)
			f.table.SetFault(snipestand.TableFault{Stale: time.Minute})
			f.add()
			f.run(size)
			time.Sleep(time.Second)
		}, true},
		"new while all are down": {func(f *fleet) {
			f.edit()
			f.table.SetFault(snipestand.TableFault{Down: true})
			f.add()
			f.cutPeers(size, true)
			f.run(size)
			time.Sleep(time.Hour)
		}, false},
		"cut from both, then healed": {func(f *fleet) {
			f.cutTable(4, true)
			f.cutPeers(4, true)
			f.edit()
			time.Sleep(time.Hour)
			must.Nil(f.t, f.stores[4].Admitting())
			f.cutPeers(4, false)
			f.cutTable(4, false)
			time.Sleep(10 * time.Second)
		}, true},
		"long outage": {func(f *fleet) {
			f.edit()
			time.Sleep(maxPropagationTime)
			f.table.SetFault(snipestand.TableFault{Down: true})
			time.Sleep(time.Hour)
		}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				defer f.stop()
				f.runAll()
				tc.disturb(f)
				last := f.stores[len(f.stores)-1].Admitting()
				must.Eq(t, tc.admits, last != nil)
				must.SliceEmpty(t, f.outdated(2))
			})
		})
	}
}

// TestUndecodableBranch guards against a stored document that an instance cannot decode, such as one of a
// later version, replacing the settings of its branch or blocking other branches.
func TestUndecodableBranch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := tableWithPlatform(t)
		s, fresh := newStore(table), newStore(table)
		_, err := s.Apply(t.Context(), "t", 0, []byte(teamBranch))
		must.NoError(t, err)
		must.NoError(t, s.Refresh(t.Context()))
		// A later version accepts a field that this one does not know.
		must.NoError(t, newStore(table).WriteUnchecked(t.Context(), "t", 1, []byte(`{"Later": 1}`)))
		_, err = s.Apply(t.Context(), "u", 0, []byte(teamBranch))
		must.NoError(t, err)
		for _, store := range []*snipetree.Store{s, fresh} {
			must.NoError(t, store.Refresh(t.Context()))
			must.Eq(t, 4, store.Current().Revision)
			must.Eq(t, []string{"Team/t"}, store.Current().Undecodable)
			must.NotNil(t, store.Current().Teams["u"])
		}
		must.NotNil(t, s.Current().Teams["t"])
		must.Nil(t, fresh.Current().Teams["t"])
	})
}

// TestLowerRevision guards against a lower revision that is put in force because a stale table
// or a peer returned it.
func TestLowerRevision(t *testing.T) {
	tests := map[string]snipestand.TableFault{
		"stale table":              {Stale: time.Minute},
		"table down, peers behind": {Down: true},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				f.dropAnnouncements()
				for _, s := range f.stores {
					must.NoError(t, s.Refresh(t.Context()))
				}
				time.Sleep(time.Hour)
				f.edit()
				f.table.SetFault(fault)
				for range 3 {
					must.NoError(t, f.stores[0].Refresh(t.Context()))
					must.Eq(t, 2, f.stores[0].Current().Revision)
					time.Sleep(time.Second)
				}
			})
		})
	}
}
