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

// cluster is a set of instances on one in-memory network.
type cluster struct {
	t         *testing.T
	network   *snipestand.PeerNetwork
	instances []*snipemember.Membership
	cancels   []context.CancelFunc
	running   sync.WaitGroup
	// seedsDown makes reading the platform's list fail.
	seedsDown atomic.Bool
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

func name(n int) string { return fmt.Sprintf("entry-%d", n) }

// seeds returns only the first two instances, like a platform's list that is out of date.
func (c *cluster) seeds(context.Context) ([]snipemember.Seed, error) {
	if c.seedsDown.Load() {
		return nil, errors.New("down")
	}
	return []snipemember.Seed{{Name: name(0), Address: address(0)}, {Name: name(1), Address: address(1)}}, nil
}

func (c *cluster) start(n int) {
	random, lock := rand.New(rand.NewSource(int64(n+1))), sync.Mutex{}
	i := &snipemember.Membership{
		Self: snipemember.Member{Name: name(n), Address: address(n), Domain: "d"},
		HTTP: c.network.From(address(n)), Seeds: c.seeds,
		Interval: snipemember.DefaultInterval, Timeout: snipemember.DefaultTimeout,
		Random: func(k int) int {
			lock.Lock()
			defer lock.Unlock()
			return random.Intn(k)
		},
		Log: snipelog.Discard(),
	}
	c.network.Listen(address(n), i.Handler())
	ctx, cancel := context.WithCancel(c.t.Context())
	if n < len(c.instances) {
		c.instances[n], c.cancels[n] = i, cancel
	} else {
		c.instances, c.cancels = append(c.instances, i), append(c.cancels, cancel)
	}
	c.running.Go(func() { must.NoError(c.t, i.Run(ctx)) })
}

func (c *cluster) kill(n int) {
	c.network.Listen(address(n), nil)
	c.cancels[n]()
}

func (c *cluster) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
	c.running.Wait()
}

// countReporting returns the number of instances, without instance n itself, that report instance n
// with the given status.
func (c *cluster) countReporting(n int, s snipemember.Status) int {
	total := 0
	for i, other := range c.instances {
		if m, ok := other.Member(name(n)); i != n && ok && m.Status == s {
			total++
		}
	}
	return total
}

// countWith returns the number of instances that have a digest of the topic.
func (c *cluster) countWith(topic string) int {
	total := 0
	for _, n := range c.instances {
		if len(n.Digests(topic)) > 0 {
			total++
		}
	}
	return total
}

// TestMembership guards against an instance that counts as dead although some others reach it, and
// against one that counts as live after it was killed.
func TestMembership(t *testing.T) {
	const size = 24
	tests := map[string]struct {
		fault func(c *cluster)
		wait  time.Duration
		// dead and live are the numbers of other instances that report instance 5 as such.
		dead, live int
	}{
		"nothing happens": {func(*cluster) {}, time.Minute, 0, size - 1},
		"killed":          {func(c *cluster) { c.kill(5) }, 40 * time.Second, size - 1, 0},
		"cut from one, one way": {func(c *cluster) {
			c.network.Cut(address(3), address(5), true)
		}, 2 * time.Minute, 0, size - 1},
		"cut from one, both ways": {func(c *cluster) {
			c.network.Cut(address(3), address(5), true)
			c.network.Cut(address(5), address(3), true)
		}, 2 * time.Minute, 0, size - 1},
		"hears all, reaches nobody": {func(c *cluster) {
			for n := range size {
				c.network.Cut(address(5), address(n), true)
			}
		}, time.Minute, 0, size - 1},
		"reaches all, hears nobody": {func(c *cluster) {
			for n := range size {
				c.network.Cut(address(n), address(5), true)
			}
		}, time.Minute, 0, size - 1},
		"cut from all, then healed": {func(c *cluster) {
			c.isolate(true)
			time.Sleep(time.Minute)
			must.Eq(c.t, size-1, c.countReporting(5, snipemember.Dead))
			c.isolate(false)
		}, 2 * time.Minute, 0, size - 1},
		"flapping": {func(c *cluster) {
			for range 10 {
				c.isolate(true)
				time.Sleep(1500 * time.Millisecond)
				c.isolate(false)
				time.Sleep(1500 * time.Millisecond)
				must.Eq(c.t, 0, c.countReporting(5, snipemember.Dead))
			}
		}, 30 * time.Second, 0, size - 1},
		"replaced under its name": {func(c *cluster) {
			c.kill(5)
			time.Sleep(time.Second)
			c.start(5)
		}, 30 * time.Second, 0, size - 1},
	}
	for title, tc := range tests {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &cluster{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
				defer c.stop()
				for n := range size {
					c.start(n)
				}
				time.Sleep(20 * time.Second)
				for n := range size {
					must.Eq(t, size-1, c.countReporting(n, snipemember.Alive), must.Sprintf("instance %d", n))
				}
				tc.fault(c)
				time.Sleep(tc.wait)
				must.Eq(t, tc.dead, c.countReporting(5, snipemember.Dead))
				must.Eq(t, tc.live, c.countReporting(5, snipemember.Alive)+c.countReporting(5, snipemember.Suspect))
			})
		})
	}
}

// isolate cuts the links between instance 5 and all others, or restores them.
func (c *cluster) isolate(cut bool) {
	for i := range c.instances {
		c.network.Cut(address(i), address(5), cut)
		c.network.Cut(address(5), address(i), cut)
	}
}

// TestAnnounce guards against announcements that do not reach all instances in time, outlive their time,
// or are too large.
func TestAnnounce(t *testing.T) {
	const size = 60
	tests := map[string]struct {
		do        func(c *cluster)
		wait      time.Duration
		receivers int
	}{
		"all within three seconds": {func(*cluster) {}, 3 * time.Second, size},
		"most within a quarter of one": {func(c *cluster) {
			time.Sleep(250 * time.Millisecond)
			must.Greater(c.t, size*9/10, c.countWith("Topic"))
		}, 3 * time.Second, size},
		"expires": {func(*cluster) {}, 11 * time.Second, 0},
		"reaches one that starts later": {func(c *cluster) {
			time.Sleep(time.Second)
			c.start(size)
		}, 3 * time.Second, size + 1},
		"too large is refused": {func(c *cluster) {
			c.instances[0].Announce("Big", "k", make([]byte, snipemember.MaxData+1), time.Minute)
			must.Eq(c.t, 0, c.countWith("Big"))
		}, 3 * time.Second, size},
	}
	for title, tc := range tests {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &cluster{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
				defer c.stop()
				for n := range size {
					c.start(n)
				}
				time.Sleep(30 * time.Second)
				c.instances[7].Announce("Topic", "key", []byte("data"), 10*time.Second)
				tc.do(c)
				time.Sleep(tc.wait)
				must.Eq(t, tc.receivers, c.countWith("Topic"))
			})
		})
	}
}

// TestAnnounceOrder checks that a later announcement replaces an earlier one on all instances, also
// after the origin was replaced by a new process of the same name.
func TestAnnounceOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
		defer c.stop()
		for n := range 12 {
			c.start(n)
		}
		time.Sleep(10 * time.Second)
		for _, data := range []string{"one", "two", "three"} {
			c.instances[3].Announce("Topic", "key", []byte(data), time.Minute)
		}
		time.Sleep(5 * time.Second)
		for _, n := range c.instances {
			all := n.Digests("Topic")
			must.Len(t, 1, all)
			must.Eq(t, "three", string(all[0].Data))
		}
		c.kill(3)
		time.Sleep(time.Second)
		c.start(3)
		c.instances[3].Announce("Topic", "key", []byte("four"), time.Minute)
		time.Sleep(20 * time.Second)
		for _, n := range c.instances {
			must.Eq(t, "four", string(n.Digests("Topic")[0].Data))
		}
	})
}

// TestSeedsDown checks that an instance list that is unavailable while an instance starts only
// delays joining.
func TestSeedsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
		defer c.stop()
		for n := range 4 {
			c.start(n)
		}
		time.Sleep(10 * time.Second)
		c.seedsDown.Store(true)
		c.start(4)
		time.Sleep(15 * time.Second)
		must.Eq(t, 0, c.countReporting(4, snipemember.Alive))
		c.seedsDown.Store(false)
		time.Sleep(15 * time.Second)
		must.Eq(t, 4, c.countReporting(4, snipemember.Alive))
	})
}
