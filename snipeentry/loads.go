package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// The owners of engines know the engines' loads. With few instances, each instance learns the loads
// from the answers to its own reports to the owners. With hundreds, each instance uses few engines
// a second, and asking all owners would need a message between each pair of instances. Then the
// first instance of each failure domain asks the owners, and the others ask that instance.

const (
	// minGatherInstances is the number of instances from which the first instance of each domain
	// gathers the loads.
	minGatherInstances = 32
	// loadsInterval is the time between two polls of the loads of all engines. An engine receives
	// one or two requests in this time.
	loadsInterval = 160 * time.Millisecond
	// loadsTimeout bounds one request for loads. A later answer is of no use.
	loadsTimeout = 150 * time.Millisecond
)

// gathersLoads reports whether the first instance of each domain gathers the loads.
func (i *Instance) gathersLoads() bool { return i.instances() >= minGatherInstances }

// updateLoads updates the loads of all engines, from their owners or from the instance that has
// gathered them. It does nothing if loads are not gathered.
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

// requestOwnerLoads requests the loads from all owners that have not answered within half an
// interval.
func (i *Instance) requestOwnerLoads(ctx context.Context) {
	since := time.Now().Add(-loadsInterval / 2)
	for _, owner := range i.holder.View().OtherOwners {
		if i.peers.lastAnswer(owner).Before(since) {
			go i.sendReport(ctx, owner, i.newReport())
		}
	}
}

// requestLoads requests the loads that another instance has gathered. If that instance does not
// answer, the next in rank is asked for a while.
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
	all := make([]snipebalance.LoadReport, 0, len(answer.GetLoads()))
	for _, l := range answer.GetLoads() {
		age := time.Duration(l.GetAgeMilliseconds()) * time.Millisecond
		all = append(all, snipebalance.LoadReport{ID: l.GetEngine(), Load: l.GetLoad(), Age: age})
	}
	i.balancer.MergeLoads(all)
	i.signals.Merge(decodeSignals(answer.GetSignals()))
}

// Loads implements snipeproto.Adapter.
func (s *peerServer) Loads(context.Context, *snipeproto.AdapterLoadsRequest) (*snipeproto.AdapterLoadsResponse, error) {
	answer := &snipeproto.AdapterLoadsResponse{Signals: encodeSignals(s.signals.CurrentUpdates())}
	for _, t := range s.balancer.LoadReports() {
		answer.Loads = append(answer.Loads, &snipeproto.EngineLoad{
			Engine: t.ID, Load: t.Load, AgeMilliseconds: t.Age.Milliseconds(),
		})
	}
	return answer, nil
}

// loadsRetryPause is how long after a failure the next instances in rank are asked for loads,
// before the first one is tried again.
const loadsRetryPause = 3 * time.Second

// loadsReaderRank returns the rank of the domain's instance to ask for loads: the first, or the
// next after each instance that did not answer.
func (p *peers) loadsReaderRank() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.loadsFailedAt) >= loadsRetryPause {
		p.loadsFailures = 0
	}
	return p.loadsFailures
}

// noteLoadsAnswer records whether the instance with the given rank answered the request for loads.
// It reports whether this answer shows that the domain's first instance was lost or is back.
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
