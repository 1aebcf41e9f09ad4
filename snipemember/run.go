package snipemember

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetime"
)

// Run takes part in the membership until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.start()
	var wait sync.WaitGroup
	wait.Go(func() { n.runPushes(ctx) })
	defer wait.Wait()
	n.readSeeds(ctx)
	n.join(ctx)
	// Instances that started together must not do the rare work together.
	phase := n.Random(seedsEvery)
	t := time.NewTicker(n.Interval)
	defer t.Stop()
	for round := phase; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		n.step(ctx, round)
	}
}

// step does what is due in one interval.
func (n *Node) step(ctx context.Context, round int) {
	n.expire()
	n.probeNext(ctx)
	if round%seedsEvery == 0 || len(n.some(1, "")) == 0 && round%reconnectEvery == 0 {
		n.readSeeds(ctx)
	}
	if round%reconnectEvery == 0 {
		n.reconnect(ctx)
	}
	if round%syncEvery == 0 {
		for _, m := range n.some(1, "") {
			n.sync(ctx, m.Address, false)
		}
	}
}

// runPushes tells new changes at once, within a budget of pushRefill pushes an interval
// and a burst.
func (n *Node) runPushes(ctx context.Context) {
	budget, filled := float64(pushBurst), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		for n.fresh() && ctx.Err() == nil {
			snipetime.Sleep(ctx, pushGather)
			now := time.Now()
			budget = min(pushBurst, budget+pushRefill*now.Sub(filled).Seconds()/n.Interval.Seconds())
			filled = now
			if budget < 1 {
				snipetime.Sleep(ctx, n.Interval/2)
				continue
			}
			count := min(pushFanout, int(budget))
			budget -= float64(count)
			if n.push(ctx, count) == 0 {
				break
			}
		}
	}
}

// push tells news to random peers and returns to how many.
func (n *Node) push(ctx context.Context, count int) int {
	peers := n.some(count, "")
	var wait sync.WaitGroup
	for _, m := range peers {
		wait.Go(func() { n.probe(ctx, m.Name, m.Address) })
	}
	wait.Wait()
	return len(peers)
}

// client returns a client of a peer's service.
func (n *Node) client(address netip.AddrPort) snipeproto.Member {
	return snipeproto.NewMemberProtobufClient("http://"+address.String(), n.HTTP)
}

// probe asks a peer whether it lives; false when it did not answer in time.
func (n *Node) probe(ctx context.Context, name string, address netip.AddrPort) bool {
	bounded, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	p := n.pack(nil)
	out, err := n.client(address).Probe(bounded, &snipeproto.ProbeRequest{Target: name, News: p.news})
	if err != nil {
		return false
	}
	n.delivered(p)
	n.learn(out.GetNews())
	return true
}

// probeNext probes the next peer of the shuffled order, by way of others when
// it does not answer, and suspects it when none reaches it.
func (n *Node) probeNext(ctx context.Context) {
	m, ok := n.next()
	if !ok || n.probe(ctx, m.Name, m.Address) || ctx.Err() != nil {
		return
	}
	reached, answered := n.relay(ctx, m)
	if !reached {
		n.suspect(m.Name, answered == 0)
	}
}

// next returns the next live peer of the order, which is shuffled anew when it
// has been gone through: every peer is probed within two rounds of the order.
func (n *Node) next() (Member, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for range 2 {
		for len(n.order) > 0 {
			name := n.order[0]
			n.order = n.order[1:]
			if p, ok := n.peers[name]; ok && p.Live() {
				return p.Member, true
			}
		}
		for _, m := range n.live() {
			n.order = append(n.order, m.Name)
		}
	}
	return Member{}, false
}

// relay asks a few others to probe m. It returns whether one reached it, and
// how many answered at all.
func (n *Node) relay(ctx context.Context, m Member) (reached bool, answered int) {
	bounded, cancel := context.WithTimeout(ctx, 2*n.Timeout)
	defer cancel()
	address, _ := m.Address.MarshalBinary()
	var lock sync.Mutex // guards reached and answered
	var wait sync.WaitGroup
	for _, helper := range n.some(relays, m.Name) {
		wait.Go(func() {
			out, err := n.client(helper.Address).Relay(bounded, &snipeproto.RelayRequest{Target: m.Name, Address: address})
			if err != nil {
				return
			}
			n.seen()
			lock.Lock()
			defer lock.Unlock()
			answered++
			reached = reached || out.GetReached()
		})
	}
	wait.Wait()
	return reached, answered
}

// reconnect tries one instance that is thought dead, or is listed and unknown:
// after a cut between groups nobody else would bring them together again.
func (n *Node) reconnect(ctx context.Context) {
	n.lock.Lock()
	var lost []Seed
	for _, s := range n.seeds {
		if _, known := n.peers[s.Name]; !known && s.Name != n.self.Name {
			lost = append(lost, s)
		}
	}
	for _, p := range n.peers {
		if p.Status == Dead {
			lost = append(lost, Seed{Name: p.Name, Address: p.Address})
		}
	}
	n.lock.Unlock()
	if len(lost) > 0 {
		n.sync(ctx, lost[n.Random(len(lost))].Address, true)
	}
}

// readSeeds reads the platform's list; when that fails the last one stays.
func (n *Node) readSeeds(ctx context.Context) {
	seeds, err := n.Seeds(ctx)
	if err != nil {
		n.Log.Error(snipelog.SeedsReadFailed, err, nil)
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.seeds, n.listed = seeds, true
}

// join takes all that a few listed instances know.
func (n *Node) join(ctx context.Context) {
	n.lock.Lock()
	var others []Seed
	for _, s := range n.seeds {
		if s.Name != n.self.Name {
			others = append(others, s)
		}
	}
	n.lock.Unlock()
	n.shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	done := 0
	for _, s := range others {
		if done == joinSeeds || ctx.Err() != nil {
			break
		}
		if n.sync(ctx, s.Address, true) {
			done++
		}
	}
	n.signal()
}
