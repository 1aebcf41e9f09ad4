package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// What the engines have to do is known to their owners. Where there are few instances each hears
// of every owner by its own reports. Of hundreds each uses few engines a second, and asking all
// owners would be a message from each to each: there the first instance of a failure domain asks
// the owners, and the others ask it.

const (
	// gatherFrom is from how many instances on the first of each domain gathers loads.
	gatherFrom = 32
	// loadsEvery is the time between two looks at the loads of all engines: an engine gets one
	// or two requests meanwhile.
	loadsEvery = 160 * time.Millisecond
	// loadsTimeout bounds one question for loads: a later answer is of no use.
	loadsTimeout = 150 * time.Millisecond
)

// gathers reports whether loads are gathered by the first instance of each domain.
func (i *Instance) gathers() bool { return i.instances() >= gatherFrom }

// learnLoads learns the loads of all engines, from their owners or from the instance that has
// asked these.
func (i *Instance) learnLoads(ctx context.Context) {
	if !i.gathers() {
		return
	}
	readers := i.readers(false)
	if len(readers) == 0 || readers[0] == i.Settings.Peers {
		i.askOwners(ctx)
		return
	}
	turn := i.peers.loadsTurn()
	go i.askLoads(ctx, readers[turn%len(readers)], turn)
}

// askOwners has all owners tell the loads of their engines that were not heard of lately.
func (i *Instance) askOwners(ctx context.Context) {
	since := time.Now().Add(-loadsEvery / 2)
	for _, owner := range i.holder.View().Others {
		if i.peers.heardAt(owner).Before(since) {
			go i.report(ctx, owner, i.newReport())
		}
	}
}

// askLoads learns the loads that another instance knows. One that does not answer is left for
// the next in rank for a while.
func (i *Instance) askLoads(ctx context.Context, to netip.AddrPort, turn int) {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	answer, err := i.peers.adapters.of(to).Loads(ctx, &snipeproto.AdapterLoadsRequest{})
	if ctx.Err() == context.Canceled {
		return
	}
	changed := i.peers.loadsAnswered(turn, err == nil)
	switch {
	case err != nil && changed:
		i.Log.Error(snipelog.LoadsUnknown, err, snipelog.Fields{peerName: to})
	case changed:
		i.Log.Log(snipelog.LoadsKnown, snipelog.Fields{peerName: to})
	}
	if err != nil {
		return
	}
	all := make([]snipebalance.Statement, 0, len(answer.GetLoads()))
	for _, l := range answer.GetLoads() {
		age := time.Duration(l.GetAgeMilliseconds()) * time.Millisecond
		all = append(all, snipebalance.Statement{ID: l.GetEngine(), Load: l.GetLoad(), Age: age})
	}
	i.balancer.ToldAll(all)
	i.signals.Learn(decodeSignals(answer.GetSignals()))
}

// Loads implements snipeproto.Adapter.
func (s *peerServer) Loads(context.Context, *snipeproto.AdapterLoadsRequest) (*snipeproto.AdapterLoadsResponse, error) {
	answer := &snipeproto.AdapterLoadsResponse{Signals: encodeSignals(s.signals.Statements())}
	for _, t := range s.balancer.Statements() {
		answer.Loads = append(answer.Loads, &snipeproto.EngineLoad{
			Engine: t.ID, Load: t.Load, AgeMilliseconds: t.Age.Milliseconds(),
		})
	}
	return answer, nil
}

// loadsPause is for how long an instance is not asked for loads that did not answer.
const loadsPause = 3 * time.Second

// loadsTurn is which instance of the domain is asked for loads: the first, or the next after
// each that did not answer.
func (p *peers) loadsTurn() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.loadsFailedAt) >= loadsPause {
		p.loadsTried = 0
	}
	return p.loadsTried
}

// loadsAnswered notes whether the instance whose turn it was told the loads, and tells whether
// the first of the domain was lost or is back by that.
func (p *peers) loadsAnswered(turn int, ok bool) (changed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !ok {
		if turn == p.loadsTried {
			p.loadsTried++
		}
		p.loadsFailedAt = time.Now()
		changed = !p.loadsLost
		p.loadsLost = true
		return changed
	}
	changed = p.loadsLost && turn == 0
	p.loadsLost = p.loadsLost && turn > 0
	return changed
}
