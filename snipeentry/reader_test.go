package snipeentry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
)

const (
	domains   = 5
	perDomain = 60
	// sampleInterval selects the instances with low Power that are checked: every thirteenth, since
	// all of them behave alike.
	sampleInterval = 13
)

// member returns one of three hundred instances. The first three of each domain have a high Power,
// so that they rank above the others.
func member(n int) snipeowner.Instance {
	m := snipeowner.Instance{
		Name: fmt.Sprint("i", n), Incarnation: "1", Domain: fmt.Sprint("d", n%domains), Power: 0.2,
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 250), byte(n%250 + 1)}), 70),
	}
	if n < 3*domains {
		m.Power = 0.8
	}
	return m
}

// instanceWithRows returns an instance that has read the given ownership rows.
func instanceWithRows(t *testing.T, n int, maxStaleness time.Duration, rows []snipeplatform.Row) *Instance {
	self := member(n)
	i := &Instance{Settings: Settings{
		Peers: self.Peer, Domain: self.Domain,
		DrainTime: snipejson.Duration(maxStaleness), ApplyTime: snipejson.Duration(maxStaleness),
	}}
	i.peers = newPeers(http.DefaultTransport)
	i.holder = &snipeowner.Holder{
		Self: self, Engines: func() []netip.AddrPort { return nil }, Log: snipelog.Discard(),
		Clock:     func() time.Duration { return time.Hour },
		Operation: func() string { return "" },
		Table: snipeowner.Table{
			List: func(context.Context, string, uint64) ([]snipeplatform.Row, uint64, error) { return rows, 0, nil },
			Write: func(context.Context, string, []snipeplatform.Change) (uint64, error) {
				return 0, snipeplatform.ErrUnavailable
			},
		},
	}
	i.holder.Step(t.Context())
	return i
}

func memberRows(t *testing.T) []snipeplatform.Row {
	var rows []snipeplatform.Row
	for n := range domains * perDomain {
		m := member(n)
		m.Standby = n >= 3*domains
		data, err := json.Marshal(m)
		must.NoError(t, err)
		key := snipeplatform.Key{Partition: snipeowner.Partition, Sort: "instance/" + m.Peer.String()}
		rows = append(rows, snipeplatform.Row{Key: key, Version: uint64(n + 1), Data: data})
	}
	return rows
}

// TestOneReader covers hundreds of instances that follow the store's tables. If changes may take
// four seconds to be known, one instance reads the store. If they must be known within two seconds,
// one instance of each failure domain does. After enough failures of other instances, each instance
// reads the store.
func TestOneReader(t *testing.T) {
	tests := map[string]struct {
		maxStaleness time.Duration
		// readers is the number of instances that read the store. first is the number of checked
		// instances to which tableCopyAges.First applies: they detect the loss of the single reader
		// before the others do.
		readers, first int
	}{"OneForAll": {4 * time.Second, 1, domains}, "OneADomain": {2 * time.Second, domains, 0}}
	rows := memberRows(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			readers, first := 0, 0
			for n := range domains * perDomain {
				if n >= 3*domains && n%sampleInterval != 0 {
					continue
				}
				i := instanceWithRows(t, n, tt.maxStaleness, rows)
				if _, follows := i.peerCopy("rows", 0, false); !follows {
					readers++
				}
				if i.maxCopyAge(tableCopyAges) == tableCopyAges.First {
					first++
				}
				_, follows := i.peerCopy("rows", domains*perDomain, false)
				must.False(t, follows, must.Sprint("after enough failures each instance reads the store"))
				must.LessEq(t, tt.maxStaleness, i.maxCopyAge(tableCopyAges)+500*time.Millisecond)
			}
			must.Eq(t, tt.readers, readers)
			must.Eq(t, tt.first, first)
		})
	}
}

// TestReaderLost covers one failure domain after the loss of the single reader. Only the domain's
// first instance reads the store. The other instances, which accept older copies, read the first
// instance's copy throughout.
func TestReaderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countedStore{}
		root := snipemirror.New()
		position, err := store.read(t.Context())
		must.NoError(t, err)
		root.Apply(position)
		first := newFollower(store, root, tableCopyAges.First)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = first.Run(ctx) }()
		others := &countedStore{}
		for range perDomain {
			f := newFollower(others, first.Mirror, tableCopyAges.Others)
			go func() { _ = f.Run(ctx) }()
		}
		// The copy of the lost single reader (root) is never renewed.
		time.Sleep(5 * time.Second)
		must.Positive(t, store.calls.Load())
		must.Eq(t, 0, others.calls.Load())
		cancel()
		synctest.Wait()
	})
}

// countedStore is a store whose position advances each second. It counts the calls of watch.
type countedStore struct{ calls atomic.Int32 }

func (s *countedStore) read(context.Context) (snipemirror.Page, error) {
	return snipemirror.Page{Complete: true, Position: uint64(time.Now().Unix())}, nil
}

func (s *countedStore) watch(_ context.Context, _ uint64, wait time.Duration) (snipemirror.Page, error) {
	s.calls.Add(1)
	time.Sleep(wait)
	return snipemirror.Page{Position: uint64(time.Now().Unix())}, nil
}

// newFollower returns a follower that follows m until a read fails or the copy is older than age,
// and then reads the store.
func newFollower(s *countedStore, m *snipemirror.Mirror, age time.Duration) *snipemirror.Follower {
	return &snipemirror.Follower{
		Mirror: snipemirror.New(), Store: snipemirror.Source{Read: s.read, Watch: s.watch},
		MinInterval: directoryInterval, Wait: directoryWait, MaxAge: func() time.Duration { return age },
		PeerWatch: func(failures int, _ bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
			return m.Watch, failures == 0
		},
		Changed: func([]snipemirror.Row, uint64) {}, StoreLost: func(error) {}, StoreRestored: func() {},
	}
}
