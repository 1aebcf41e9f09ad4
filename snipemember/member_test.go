package snipemember_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipestand"
)

// group is a number of nodes on one network in memory.
type group struct {
	t       *testing.T
	network *snipestand.PeerNetwork
	nodes   []*snipemember.Node
	cancels []context.CancelFunc
	wait    sync.WaitGroup
	// listDown makes the platform's list fail.
	listDown atomic.Bool
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

func name(n int) string { return fmt.Sprintf("entry-%d", n) }

// seeds lists the first two instances only: the list lags.
func (g *group) seeds(context.Context) ([]snipemember.Seed, error) {
	if g.listDown.Load() {
		return nil, errors.New("down")
	}
	return []snipemember.Seed{{Name: name(0), Address: address(0)}, {Name: name(1), Address: address(1)}}, nil
}

func (g *group) start(n int) {
	random, lock := rand.New(rand.NewSource(int64(n+1))), sync.Mutex{}
	node := &snipemember.Node{
		Self: snipemember.Member{Name: name(n), Address: address(n), Domain: "d"},
		HTTP: g.network.From(address(n)), Seeds: g.seeds,
		Interval: snipemember.DefaultInterval, Timeout: snipemember.DefaultTimeout,
		Random: func(k int) int {
			lock.Lock()
			defer lock.Unlock()
			return random.Intn(k)
		},
		Log: snipelog.Discard(),
	}
	g.network.Listen(address(n), node.Handler())
	ctx, cancel := context.WithCancel(g.t.Context())
	if n < len(g.nodes) {
		g.nodes[n], g.cancels[n] = node, cancel
	} else {
		g.nodes, g.cancels = append(g.nodes, node), append(g.cancels, cancel)
	}
	g.wait.Go(func() { must.NoError(g.t, node.Run(ctx)) })
}

func (g *group) kill(n int) {
	g.network.Listen(address(n), nil)
	g.cancels[n]()
}

func (g *group) end() {
	for _, c := range g.cancels {
		c()
	}
	g.wait.Wait()
}

// seenAs counts the nodes, other than the member itself, that hold a member to
// have a status.
func (g *group) seenAs(n int, s snipemember.Status) int {
	total := 0
	for i, node := range g.nodes {
		if m, ok := node.Member(name(n)); i != n && ok && m.Status == s {
			total++
		}
	}
	return total
}

func (g *group) told(topic string) int {
	total := 0
	for _, n := range g.nodes {
		if len(n.Digests(topic)) > 0 {
			total++
		}
	}
	return total
}

func TestMembership(t *testing.T) {
	const size = 24
	tests := map[string]struct {
		fault func(g *group)
		wait  time.Duration
		// dead and live are how many others hold instance 5 to be so.
		dead, live int
	}{
		"nothing happens": {func(*group) {}, time.Minute, 0, size - 1},
		"killed":          {func(g *group) { g.kill(5) }, 40 * time.Second, size - 1, 0},
		"cut from one, one way": {func(g *group) {
			g.network.Cut(address(3), address(5), true)
		}, 2 * time.Minute, 0, size - 1},
		"cut from one, both ways": {func(g *group) {
			g.network.Cut(address(3), address(5), true)
			g.network.Cut(address(5), address(3), true)
		}, 2 * time.Minute, 0, size - 1},
		"hears all, reaches nobody": {func(g *group) {
			for n := range size {
				g.network.Cut(address(5), address(n), true)
			}
		}, time.Minute, 0, size - 1},
		"reaches all, hears nobody": {func(g *group) {
			for n := range size {
				g.network.Cut(address(n), address(5), true)
			}
		}, time.Minute, 0, size - 1},
		"cut from all, then healed": {func(g *group) {
			g.isolate(true)
			time.Sleep(time.Minute)
			must.Eq(g.t, size-1, g.seenAs(5, snipemember.Dead))
			g.isolate(false)
		}, 2 * time.Minute, 0, size - 1},
		"flapping": {func(g *group) {
			for range 10 {
				g.isolate(true)
				time.Sleep(1500 * time.Millisecond)
				g.isolate(false)
				time.Sleep(1500 * time.Millisecond)
				must.Eq(g.t, 0, g.seenAs(5, snipemember.Dead))
			}
		}, 30 * time.Second, 0, size - 1},
		"replaced under its name": {func(g *group) {
			g.kill(5)
			time.Sleep(time.Second)
			g.start(5)
		}, 30 * time.Second, 0, size - 1},
	}
	for title, tc := range tests {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &group{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
				defer g.end()
				for n := range size {
					g.start(n)
				}
				time.Sleep(20 * time.Second)
				for n := range size {
					must.Eq(t, size-1, g.seenAs(n, snipemember.Alive), must.Sprintf("instance %d", n))
				}
				tc.fault(g)
				time.Sleep(tc.wait)
				must.Eq(t, tc.dead, g.seenAs(5, snipemember.Dead))
				must.Eq(t, tc.live, g.seenAs(5, snipemember.Alive)+g.seenAs(5, snipemember.Suspect))
			})
		})
	}
}

// isolate cuts instance 5 from all others, or ends the cut.
func (g *group) isolate(cut bool) {
	for i := range g.nodes {
		g.network.Cut(address(i), address(5), cut)
		g.network.Cut(address(5), address(i), cut)
	}
}

func TestAnnounce(t *testing.T) {
	const size = 60
	tests := map[string]struct {
		do   func(g *group)
		wait time.Duration
		told int
	}{
		"all within three seconds": {func(*group) {}, 3 * time.Second, size},
		"most within a quarter of one": {func(g *group) {
			time.Sleep(250 * time.Millisecond)
			must.Greater(g.t, size*9/10, g.told("Topic"))
		}, 3 * time.Second, size},
		"expires": {func(*group) {}, 11 * time.Second, 0},
		"reaches one that starts later": {func(g *group) {
			time.Sleep(time.Second)
			g.start(size)
		}, 3 * time.Second, size + 1},
		"too large is refused": {func(g *group) {
			g.nodes[0].Announce("Big", "k", make([]byte, snipemember.MaxData+1), time.Minute)
			must.Eq(g.t, 0, g.told("Big"))
		}, 3 * time.Second, size},
	}
	for title, tc := range tests {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &group{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
				defer g.end()
				for n := range size {
					g.start(n)
				}
				time.Sleep(30 * time.Second)
				g.nodes[7].Announce("Topic", "key", []byte("data"), 10*time.Second)
				tc.do(g)
				time.Sleep(tc.wait)
				must.Eq(t, tc.told, g.told("Topic"))
			})
		})
	}
}

// TestAnnounceOrder: a later announcement replaces an earlier one everywhere,
// also when its origin was replaced and its clock went back.
func TestAnnounceOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
		defer g.end()
		for n := range 12 {
			g.start(n)
		}
		time.Sleep(10 * time.Second)
		for _, data := range []string{"one", "two", "three"} {
			g.nodes[3].Announce("Topic", "key", []byte(data), time.Minute)
		}
		time.Sleep(5 * time.Second)
		for _, n := range g.nodes {
			all := n.Digests("Topic")
			must.Len(t, 1, all)
			must.Eq(t, "three", string(all[0].Data))
		}
		g.kill(3)
		time.Sleep(time.Second)
		g.start(3)
		g.nodes[3].Announce("Topic", "key", []byte("four"), time.Minute)
		time.Sleep(20 * time.Second)
		for _, n := range g.nodes {
			must.Eq(t, "four", string(n.Digests("Topic")[0].Data))
		}
	})
}

// TestSeedsDown: an instance list that is down for the start delays joining and
// nothing else.
func TestSeedsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
		defer g.end()
		for n := range 4 {
			g.start(n)
		}
		time.Sleep(10 * time.Second)
		g.listDown.Store(true)
		g.start(4)
		time.Sleep(15 * time.Second)
		must.Eq(t, 0, g.seenAs(4, snipemember.Alive))
		g.listDown.Store(false)
		time.Sleep(15 * time.Second)
		must.Eq(t, 4, g.seenAs(4, snipemember.Alive))
	})
}
