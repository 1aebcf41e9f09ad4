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

// Run takes part in the membership until ctx ends: it joins, then probes, pushes and syncs. It does
// not announce the end of the instance; see AnnounceLeft.
func (n *Membership) Run(ctx context.Context) error {
	n.start()
	var wait sync.WaitGroup
	wait.Go(func() { n.runPushes(ctx) })
	defer wait.Wait()
	n.readSeeds(ctx)
	n.join(ctx)
	// Instances that started together start at different rounds, so that they do not read the
	// platform's list of instances (the seeds), reconnect and sync at the same time.
	phase := n.Random(seedsRounds)
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

// step does the work that is due in one interval. It reads the platform's list every
// seedsRounds rounds, or every reconnectRounds while no live peer is known.
func (n *Membership) step(ctx context.Context, round int) {
	n.expire()
	n.probeNext(ctx)
	if round%seedsRounds == 0 || len(n.randomPeers(1, "")) == 0 && round%reconnectRounds == 0 {
		n.readSeeds(ctx)
	}
	if round%reconnectRounds == 0 {
		n.reconnect(ctx)
	}
	if round%syncRounds == 0 {
		for _, m := range n.randomPeers(1, "") {
			n.sync(ctx, m.Address, false)
		}
	}
}

// runPushes pushes new changes within pushDelay, as far as a budget of requests allows: it grows by
// pushRefillRate in each interval, up to pushBurst. Changes that the budget does not allow are sent
// with the next probes or when the budget has grown.
func (n *Membership) runPushes(ctx context.Context) {
	budget, refilled := float64(pushBurst), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pushWake:
		}
		for n.hasFreshUpdates() && ctx.Err() == nil {
			snipetime.Sleep(ctx, pushDelay)
			now := time.Now()
			budget = min(pushBurst, budget+pushRefillRate*now.Sub(refilled).Seconds()/n.Interval.Seconds())
			refilled = now
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

// push probes up to count random live peers to send them updates, waits until each has answered or
// Timeout has passed, and returns the number of peers probed.
func (n *Membership) push(ctx context.Context, count int) int {
	peers := n.randomPeers(count, "")
	var wait sync.WaitGroup
	for _, m := range peers {
		wait.Go(func() { n.probe(ctx, m.Name, m.Address) })
	}
	wait.Wait()
	return len(peers)
}

// client returns a client of a peer's service.
func (n *Membership) client(address netip.AddrPort) snipeproto.Member {
	return snipeproto.NewMemberProtobufClient("http://"+address.String(), n.HTTP)
}

// probe sends a probe with updates to a peer and applies the updates in its answer. It reports
// whether the peer answered in time and under that name.
func (n *Membership) probe(ctx context.Context, name string, address netip.AddrPort) bool {
	bounded, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	b := n.nextBatch(nil)
	out, err := n.client(address).Probe(bounded, &snipeproto.ProbeRequest{Target: name, News: b.updates})
	if err != nil {
		return false
	}
	n.markSent(b)
	n.applyUpdates(out.GetNews())
	return true
}

// probeNext probes the next peer of the shuffled order. When that peer does not answer, probeNext
// asks a few other peers, the relays, to probe it, and marks it as suspect when none reaches it.
func (n *Membership) probeNext(ctx context.Context) {
	m, ok := n.nextPeer()
	if !ok || n.probe(ctx, m.Name, m.Address) || ctx.Err() != nil {
		return
	}
	reached, answered := n.probeByRelays(ctx, m)
	if !reached {
		n.markSuspect(m.Name, answered == 0)
	}
}

// nextPeer returns the next live peer of the order, which is shuffled again when it is exhausted:
// every peer is probed within two passes through the order. It reports false if no peer is live.
func (n *Membership) nextPeer() (Member, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for range 2 {
		for len(n.probeOrder) > 0 {
			name := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if p, ok := n.peers[name]; ok && p.Live() {
				return p.Member, true
			}
		}
		for _, m := range n.livePeers() {
			n.probeOrder = append(n.probeOrder, m.Name)
		}
	}
	return Member{}, false
}

// probeByRelays asks a few other peers to probe m. It returns whether one of them reached m, and
// how many of them answered at all.
func (n *Membership) probeByRelays(ctx context.Context, m Member) (reached bool, answered int) {
	bounded, cancel := context.WithTimeout(ctx, 2*n.Timeout)
	defer cancel()
	address, _ := m.Address.MarshalBinary()
	var lock sync.Mutex // guards reached and answered
	var wait sync.WaitGroup
	for _, relay := range n.randomPeers(relayCount, m.Name) {
		wait.Go(func() {
			out, err := n.client(relay.Address).Relay(bounded, &snipeproto.RelayRequest{Target: m.Name, Address: address})
			if err != nil {
				return
			}
			n.recordContact()
			lock.Lock()
			defer lock.Unlock()
			answered++
			reached = reached || out.GetReached()
		})
	}
	wait.Wait()
	return reached, answered
}

// reconnect syncs with one instance that is considered dead, or is listed by the platform and
// unknown here. After a partition, nothing else would connect the separated groups of instances
// again.
func (n *Membership) reconnect(ctx context.Context) {
	n.lock.Lock()
	var candidates []Seed
	for _, s := range n.seeds {
		if _, known := n.peers[s.Name]; !known && s.Name != n.self.Name {
			candidates = append(candidates, s)
		}
	}
	for _, p := range n.peers {
		if p.Status == Dead {
			candidates = append(candidates, Seed{Name: p.Name, Address: p.Address})
		}
	}
	n.lock.Unlock()
	if len(candidates) > 0 {
		n.sync(ctx, candidates[n.Random(len(candidates))].Address, true)
	}
}

// readSeeds reads the platform's list. When that fails the previous list stays in use.
func (n *Membership) readSeeds(ctx context.Context) {
	seeds, err := n.Seeds(ctx)
	if err != nil {
		n.Log.Error(snipelog.SeedsReadFailed, err, nil)
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.seeds, n.seedsRead = seeds, true
}

// join fetches all members and digests that a few listed instances know. It tries the listed
// instances one after the other, in a random order, until maxJoinSyncs have answered.
func (n *Membership) join(ctx context.Context) {
	n.lock.Lock()
	var others []Seed
	for _, s := range n.seeds {
		if s.Name != n.self.Name {
			others = append(others, s)
		}
	}
	n.lock.Unlock()
	n.shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	synced := 0
	for _, s := range others {
		if synced == maxJoinSyncs || ctx.Err() != nil {
			break
		}
		if n.sync(ctx, s.Address, true) {
			synced++
		}
	}
	n.wakePusher()
}
