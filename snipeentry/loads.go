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
	// minGatherInstances is from how many instances on the first of each domain gathers loads.
	minGatherInstances = 32
	// loadsInterval is the time between two looks at the loads of all engines: an engine gets one
	// or two requests meanwhile.
	loadsInterval = 160 * time.Millisecond
	// loadsTimeout bounds one question for loads: a later answer is of no use.
	loadsTimeout = 150 * time.Millisecond
)

// gathers reports whether loads are gathered by the first instance of each domain.
func (i *Instance) gathersLoads() bool { return i.instances() >= minGatherInstances }

// updateLoads learns the loads of all engines, from their owners or from the instance that has
// asked these.
func (i *Instance) updateLoads(ctx context.Context) {
	if !i.gathersLoads() {
		return
	}
	readers := i.readers(false)
	if len(readers) == 0 || readers[0] == i.Settings.Peers {
		i.requestOwnerLoads(ctx)
		return
	}
	rank := i.peers.loadsReaderRank()
	go i.requestLoads(ctx, readers[rank%len(readers)], rank)
}

// requestOwnerLoads has all owners tell the loads of their engines that were not heard of lately.
func (i *Instance) requestOwnerLoads(ctx context.Context) {
	since := time.Now().Add(-loadsInterval / 2)
	for _, owner := range i.holder.View().Others {
		if i.peers.lastAnswer(owner).Before(since) {
			go i.sendReport(ctx, owner, i.newReport())
		}
	}
}

// requestLoads learns the loads that another instance knows. One that does not answer is left for
// the next in rank for a while.
func (i *Instance) requestLoads(ctx context.Context, to netip.AddrPort, rank int) {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	answer, err := i.peers.adapters.client(to).Loads(ctx, &snipeproto.AdapterLoadsRequest{})
	if ctx.Err() == context.Canceled {
		return
	}
	changed := i.peers.noteLoadsAnswer(rank, err == nil)
	switch {
	case err != nil && changed:
		i.Log.Error(snipelog.LoadsUnknown, err, snipelog.Fields{peerField: to})
	case changed:
		i.Log.Log(snipelog.LoadsKnown, snipelog.Fields{peerField: to})
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

// loadsRetryPause is for how long an instance is not asked for loads that did not answer.
const loadsRetryPause = 3 * time.Second

// loadsReaderRank is which instance of the domain is asked for loads: the first, or the next after
// each that did not answer.
func (p *peers) loadsReaderRank() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.loadsFailedAt) >= loadsRetryPause {
		p.loadsFailures = 0
	}
	return p.loadsFailures
}

// noteLoadsAnswer notes whether the instance whose turn it was told the loads, and tells whether
// the first of the domain was lost or is back by that.
func (p *peers) noteLoadsAnswer(rank int, ok bool) (changed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !ok {
		if rank == p.loadsFailures {
			p.loadsFailures++
		}
		p.loadsFailedAt = time.Now()
		changed = !p.firstLoadsReaderLost
		p.firstLoadsReaderLost = true
		return changed
	}
	changed = p.firstLoadsReaderLost && rank == 0
	p.firstLoadsReaderLost = p.firstLoadsReaderLost && rank > 0
	return changed
}
