package snipelease_test

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	duration = 15 * time.Second
	renew    = 5 * time.Second
	margin   = 2 * time.Second
	// lateReply is the delay of a late reply to a write. It is below the holder's time limit for a
	// step, duration/3, so that the reply is not lost.
	lateReply = 4500 * time.Millisecond
	// deathDetection is how long after a death the fake membership reports it.
	deathDetection = 10 * time.Second
	// takeoverTime is the time within which an engine of a dead owner has an owner again.
	takeoverTime = deathDetection + duration + margin + 2*renew
)

// cluster is a set of instances with one table and a fake membership.
type cluster struct {
	t       *testing.T
	table   *snipestand.Table
	engines []string

	lock      sync.Mutex // guards the fields below and the instances' fields
	instances []*instance
	running   sync.WaitGroup
}

// instance is one instance of a cluster.
type instance struct {
	holder      *snipelease.Holder
	cancel      context.CancelFunc
	member      snipemember.Member
	died        time.Time
	tableCut    bool // requests do not reach the table
	repliesLost bool // writes take effect, but their replies are lost; reads fail
	repliesLate bool // replies to writes are late
	isolated    bool // there is no contact with any other instance
	lastContact time.Time
	busy        bool
	digests     map[string]expiringDigest
}

type expiringDigest struct {
	snipemember.Digest
	expires time.Time
}

func newCluster(t *testing.T, size, engines int) *cluster {
	c := &cluster{t: t, table: snipestand.NewTable()}
	for n := range engines {
		c.engines = append(c.engines, fmt.Sprintf("engine-%d", n))
	}
	for n := range size {
		c.start(fmt.Sprintf("entry-%d", n))
	}
	return c
}

// start starts an instance. A running instance of the same name keeps running.
func (c *cluster) start(name string) {
	c.lock.Lock()
	n := &instance{digests: map[string]expiringDigest{}}
	index := len(c.instances)
	n.member = snipemember.Member{
		Name: name, Incarnation: uint64(time.Now().UnixMilli()),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1),
	}
	random := mathrand.New(mathrand.NewSource(int64(index)))
	n.holder = &snipelease.Holder{
		Table: c.tableOf(n), Members: c.members(n),
		Self:     snipelease.Instance{Name: name, Incarnation: rand.Text()},
		Duration: duration, Renew: renew, Margin: margin,
		Engines:   func() []string { return c.engines },
		Revision:  func() uint64 { return 1 },
		Busy:      func(string) bool { return c.get(&n.busy) },
		Operation: rand.Text, Random: random.Float64, Log: snipelog.Discard(),
	}
	c.instances = append(c.instances, n)
	c.lock.Unlock()
	c.run(index)
}

func (c *cluster) get(flag *bool) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return *flag
}

func (c *cluster) set(flag *bool, v bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	*flag = v
}

// members returns the membership as n observes it: deaths after deathDetection, isolation and
// announcements at once.
func (c *cluster) members(n *instance) snipelease.Members {
	return snipelease.Members{
		All: func() ([]snipemember.Member, bool) { return c.membersSeenBy(n), true },
		Announce: func(topic, key string, data []byte, ttl time.Duration) {
			c.lock.Lock()
			defer c.lock.Unlock()
			d := snipemember.Digest{Origin: n.member.Name, Topic: topic, Key: key, Data: data}
			n.digests[topic+"/"+key] = expiringDigest{d, time.Now().Add(ttl)}
		},
		Digests:     func(topic string) []snipemember.Digest { return c.digestsSeenBy(n, topic) },
		LastContact: func() time.Time { return c.lastContact(n) },
	}
}

// lastContact returns the time of n's last contact with another instance.
func (c *cluster) lastContact(n *instance) time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, o := range c.instances {
		if o != n && o.died.IsZero() && !o.isolated && !n.isolated {
			n.lastContact = time.Now()
		}
	}
	return n.lastContact
}

func (c *cluster) membersSeenBy(n *instance) []snipemember.Member {
	c.lastContact(n)
	c.lock.Lock()
	defer c.lock.Unlock()
	byName := map[string]snipemember.Member{}
	for _, o := range c.instances {
		m := o.member
		if dead := !o.died.IsZero() && time.Since(o.died) > deathDetection; dead || (n.isolated || o.isolated) && o != n {
			m.Status = snipemember.Dead
		}
		if old, ok := byName[m.Name]; !ok || old.Incarnation < m.Incarnation {
			byName[m.Name] = m
		}
	}
	var all []snipemember.Member
	for _, m := range byName {
		all = append(all, m)
	}
	return all
}

func (c *cluster) digestsSeenBy(n *instance, topic string) []snipemember.Digest {
	c.lock.Lock()
	defer c.lock.Unlock()
	var all []snipemember.Digest
	for _, o := range c.instances {
		for _, d := range o.digests {
			if d.Topic == topic && time.Now().Before(d.expires) && (o == n || !n.isolated && !o.isolated) {
				all = append(all, d.Digest)
			}
		}
	}
	return all
}

// tableOf returns the table with the faults of n's connection to it.
func (c *cluster) tableOf(n *instance) snipeplatform.Table {
	client := c.table.Client()
	down := func(ctx context.Context) error {
		if c.get(&n.tableCut) {
			<-ctx.Done()
			return errors.Wrap(snipeplatform.ErrUnavailable, "cut")
		}
		return nil
	}
	return snipeplatform.Table{
		Get: func(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
			if err := down(ctx); err != nil || c.get(&n.repliesLost) {
				return snipeplatform.Row{}, errors.Wrap(snipeplatform.ErrUnavailable, "cut")
			}
			return client.Get(ctx, key)
		},
		List: func(ctx context.Context, partition string) ([]snipeplatform.Row, error) {
			if err := down(ctx); err != nil || c.get(&n.repliesLost) {
				return nil, errors.Wrap(snipeplatform.ErrUnavailable, "cut")
			}
			return client.List(ctx, partition)
		},
		Write: func(ctx context.Context, operation string, changes []snipeplatform.Change) error {
			if err := down(ctx); err != nil {
				return err
			}
			err := client.Write(ctx, operation, changes)
			if c.get(&n.repliesLate) {
				time.Sleep(lateReply)
			}
			if c.get(&n.repliesLost) {
				return errors.Wrap(snipeplatform.ErrUnknown, "reply lost")
			}
			return err
		},
	}
}

func (c *cluster) run(index int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := c.instances[index]
	ctx, cancel := context.WithCancel(c.t.Context())
	n.cancel = cancel
	c.running.Go(func() { must.NoError(c.t, n.holder.Run(ctx)) })
}

func (c *cluster) kill(index int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances[index].cancel()
	c.instances[index].died = time.Now()
}

// freeze stops an instance's holder while the membership still reports the instance alive. run
// resumes it.
func (c *cluster) freeze(index int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances[index].cancel()
}

func (c *cluster) leave(index int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances[index].member.Leaving = true
	c.instances[index].holder.Leave()
}

func (c *cluster) stop() {
	c.lock.Lock()
	for _, n := range c.instances {
		n.cancel()
	}
	c.lock.Unlock()
	c.running.Wait()
}

// owners returns the instances whose holders report that they own an engine, and the highest
// fencing number among them.
func (c *cluster) owners(engine string) (all []int, fence uint64) {
	c.lock.Lock()
	instances := c.instances
	c.lock.Unlock()
	for n, o := range instances {
		if number, ok := o.holder.Fence(engine); ok && c.alive(o) {
			all = append(all, n)
			fence = max(fence, number)
		}
	}
	return all, fence
}

func (c *cluster) alive(n *instance) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return n.died.IsZero()
}

// advance lets d elapse, and checks every 100 ms that no engine has two owners and that no fencing
// number decreases within d.
func (c *cluster) advance(d time.Duration) {
	fences := map[string]uint64{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, e := range c.engines {
			all, fence := c.owners(e)
			must.LessEq(c.t, 1, len(all), must.Sprintf("%s is owned by %v at %s", e, all, time.Now()))
			if fence > 0 {
				must.GreaterEq(c.t, fences[e], fence)
				fences[e] = fence
			}
		}
	}
}

// ownedEngines returns the number of engines that have exactly one owner.
func (c *cluster) ownedEngines() int {
	total := 0
	for _, e := range c.engines {
		if all, _ := c.owners(e); len(all) == 1 {
			total++
		}
	}
	return total
}

// ownerChanges returns the number of writes to all owner rows so far.
func (c *cluster) ownerChanges() int {
	rows, err := c.table.List(c.t.Context(), "Owners")
	must.NoError(c.t, err)
	total := 0
	for _, r := range rows {
		total += int(r.Version)
	}
	return total
}

func (c *cluster) setTableDown(down bool) { c.table.SetFault(snipestand.TableFault{Down: down}) }

func (c *cluster) ownedBy(index int) int { return len(c.instances[index].holder.Owned()) }

// TestOwnership applies a fault to a cluster in which each engine has an owner. It guards against an
// engine with two owners, one that stays without an owner, and more changes of owner than needed.
func TestOwnership(t *testing.T) {
	const size, engines = 5, 20
	tests := map[string]struct {
		do func(c *cluster)
		// wait is the time after which all engines have owners again.
		wait time.Duration
		// moves is the largest permitted number of changes of owner.
		moves int
	}{
		"nothing happens": {func(c *cluster) { c.advance(5 * time.Minute) }, 0, 0},
		"killed":          {func(c *cluster) { c.kill(2) }, takeoverTime, 5},
		"two killed":      {func(c *cluster) { c.kill(2); c.kill(3) }, takeoverTime, 10},
		"all but one killed": {func(c *cluster) {
			for n := 1; n < size; n++ {
				c.kill(n)
			}
		}, 2*time.Minute + takeoverTime, engines},
		"frozen past the lease": {func(c *cluster) { c.freeze(2); c.advance(takeoverTime); c.run(2) }, renew, 10},
		"frozen, then frozen again": {func(c *cluster) {
			c.freeze(2)
			c.advance(renew)
			c.run(2)
			c.freeze(2)
			c.advance(time.Minute)
			c.run(2)
		}, renew, 10},
		"cut from the table":               {func(c *cluster) { c.set(&c.instances[2].tableCut, true) }, takeoverTime + renew, 5},
		"cut from the table, replies only": {func(c *cluster) { c.set(&c.instances[2].repliesLost, true) }, 2 * takeoverTime, 5},
		"cut from all": {func(c *cluster) {
			c.set(&c.instances[2].tableCut, true)
			c.set(&c.instances[2].isolated, true)
		}, takeoverTime + renew, 5},
		"hung, though the membership hears it": {func(c *cluster) { c.freeze(2); c.advance(2 * time.Minute) }, takeoverTime + time.Minute, 5},
		"cut from the peers only": {func(c *cluster) {
			c.set(&c.instances[2].isolated, true)
			c.advance(5 * time.Minute)
		}, renew, 0},
		"cut from all for long, then healed, table slow": {func(c *cluster) {
			c.set(&c.instances[2].tableCut, true)
			c.set(&c.instances[2].isolated, true)
			c.advance(10 * time.Minute)
			c.table.SetFault(snipestand.TableFault{Delay: 300 * time.Millisecond})
			c.set(&c.instances[2].tableCut, false)
			c.set(&c.instances[2].isolated, false)
			c.advance(time.Minute)
		}, renew, 5},
		"short cut": {func(c *cluster) {
			c.set(&c.instances[2].tableCut, true)
			c.advance(renew)
			c.set(&c.instances[2].tableCut, false)
		}, 2 * renew, 0},
		"outage": {func(c *cluster) {
			c.setTableDown(true)
			c.advance(10 * time.Minute)
			must.Eq(c.t, engines, c.ownedEngines())
			c.setTableDown(false)
		}, 2 * renew, 0},
		"outage and a kill": {func(c *cluster) {
			c.setTableDown(true)
			c.advance(time.Minute)
			c.kill(2)
			c.advance(2 * time.Minute)
			must.Eq(c.t, engines-4, c.ownedEngines())
			c.setTableDown(false)
		}, takeoverTime + 2*renew, 5},
		"outage, frozen while the table was back": {func(c *cluster) {
			c.setTableDown(true)
			c.advance(time.Minute)
			c.freeze(2)
			c.setTableDown(false)
			c.kill(2)
			c.advance(2 * takeoverTime)
			c.setTableDown(true)
			c.advance(time.Minute)
			c.set(&c.instances[2].isolated, true)
			c.lock.Lock()
			c.instances[2].died = time.Time{}
			c.lock.Unlock()
			c.run(2)
			c.advance(time.Minute)
			c.set(&c.instances[2].isolated, false)
			c.setTableDown(false)
		}, takeoverTime, 20},
		"flapping table":  {func(c *cluster) { c.faultTable(snipestand.TableFault{Flap: 3 * time.Second}) }, renew, 0},
		"slow table":      {func(c *cluster) { c.faultTable(snipestand.TableFault{Delay: time.Second}) }, renew, 0},
		"throttled table": {func(c *cluster) { c.faultTable(snipestand.TableFault{RefuseEvery: 3}) }, renew, 0},
		"stale reads":     {func(c *cluster) { c.faultTable(snipestand.TableFault{Stale: 10 * time.Second}) }, renew, 0},
		"replies lost": {func(c *cluster) {
			c.table.SetFault(snipestand.TableFault{LoseReplies: 30})
			c.advance(time.Minute)
		}, renew, 0},
		"writes late": {func(c *cluster) {
			c.table.SetFault(snipestand.TableFault{LateWrites: 10, Late: 20 * time.Second})
			c.advance(time.Minute)
		}, renew, 0},
		"owner rows down": {func(c *cluster) { c.faultTable(snipestand.TableFault{DownPartition: "Owners"}) }, renew, 0},
		"planned stop":    {func(c *cluster) { c.leave(2) }, 2 * time.Second, 5},
		"all replaced one after another": {func(c *cluster) {
			for n := range size {
				c.start(fmt.Sprintf("new-%d", n))
				c.advance(2 * renew)
				c.leave(n)
				c.advance(2 * renew)
				must.Zero(c.t, c.ownedBy(n))
				c.kill(n)
			}
		}, 0, 3 * engines},
		"one more": {func(c *cluster) { c.start("new"); c.advance(time.Minute) }, 0, 0},
		"same name again, the old one alive": {func(c *cluster) {
			c.start("entry-2")
			c.advance(time.Minute)
			must.Zero(c.t, c.ownedBy(2))
		}, renew, 10},
		"killed, same name again": {func(c *cluster) {
			c.kill(2)
			c.advance(time.Second)
			c.start("entry-2")
		}, takeoverTime, 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, size, engines)
				defer c.stop()
				c.advance(time.Minute)
				must.Eq(t, engines, c.ownedEngines())
				before := c.ownerChanges()
				tc.do(c)
				c.advance(tc.wait)
				must.Eq(t, engines, c.ownedEngines())
				must.LessEq(t, tc.moves, c.ownerChanges()-before)
				for n, o := range c.instances {
					if c.alive(o) && name != "all but one killed" {
						must.LessEq(t, 10, c.ownedBy(n))
					}
				}
			})
		})
	}
}

// faultTable applies a fault to the table for 3 minutes.
func (c *cluster) faultTable(t snipestand.TableFault) {
	c.table.SetFault(t)
	c.advance(3 * time.Minute)
	c.table.SetFault(snipestand.TableFault{})
}

// TestHandover checks that a leaving instance keeps its busy engines, which accept no new calls
// meanwhile, and that each has its next owner within two seconds once it is idle. The leaving
// instance's lease row is then deleted.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 6)
		defer c.stop()
		c.advance(time.Minute)
		before := c.ownedBy(1)
		c.set(&c.instances[1].busy, true)
		c.leave(1)
		c.advance(time.Minute)
		must.Eq(t, before, c.ownedBy(1))
		must.Eq(t, 6-before, c.ownedEngines())
		for _, e := range c.instances[1].holder.Owned() {
			must.True(t, c.instances[0].holder.View().Owners[e].HandingOver)
		}
		c.set(&c.instances[1].busy, false)
		c.advance(2 * time.Second)
		must.Eq(t, 6, c.ownedEngines())
		must.Zero(t, c.ownedBy(1))
		_, err := c.table.Get(t.Context(), snipeplatform.Key{Partition: "Instances", Sort: "entry-1"})
		must.ErrorIs(t, err, snipeplatform.ErrNotFound)
	})
}

// TestHolds checks that an ownership outlasts the lease only in an outage of the table, and that a
// write with OwnerCheck fails during the outage and after a takeover.
func TestHolds(t *testing.T) {
	tests := map[string]struct {
		do            func(c *cluster)
		holds, writes bool
	}{
		"within the lease":          {func(*cluster) {}, true, true},
		"outage":                    {func(c *cluster) { c.setTableDown(true); c.advance(time.Minute) }, true, false},
		"cut off alone":             {func(c *cluster) { c.set(&c.instances[0].tableCut, true); c.advance(duration + time.Second) }, false, true},
		"cut off alone, taken over": {func(c *cluster) { c.set(&c.instances[0].tableCut, true); c.advance(2 * takeoverTime) }, false, false},
		"frozen":                    {func(c *cluster) { c.freeze(0); c.advance(2 * duration) }, false, true},
		"outage, frozen": {func(c *cluster) {
			c.setTableDown(true)
			c.advance(time.Minute)
			c.freeze(0)
			c.advance(2 * duration)
		}, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, 6)
				defer c.stop()
				c.advance(time.Minute)
				h := c.instances[0].holder
				engine := h.Owned()[0]
				fence, ok := h.Fence(engine)
				must.True(t, ok)
				must.False(t, h.Owns(engine, fence-1))
				tc.do(c)
				must.Eq(t, tc.holds, h.Owns(engine, fence))
				_, serves := h.Fence(engine)
				must.Eq(t, tc.holds, serves)
				err := c.table.Write(t.Context(), rand.Text(), []snipeplatform.Change{snipelease.OwnerCheck(engine, fence)})
				must.Eq(t, tc.writes, err == nil)
			})
		})
	}
}
