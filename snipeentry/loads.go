package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// An engine's load is the weight of all requests in flight there. The instances report their parts
// to the engine's owner, which adds them up. With few instances, each instance receives the loads
// in the answers to its own reports to the owners. With hundreds, each instance uses few engines a
// second, and asking all owners would need a message between each pair of instances. Then the first
// instance of each failure domain in the order of readers gathers the loads: it asks the owners,
// and the other instances of the domain ask that instance.

const (
	// minGatherInstances is the least number of live instances at which the first instance of each
	// domain gathers the loads.
	minGatherInstances = 32
	// loadsInterval is the time between two polls of the loads of all engines. An engine receives
	// one or two requests in this time.
	loadsInterval = 160 * time.Millisecond
	// loadsTimeout bounds one request for loads. A later answer is of no use.
	loadsTimeout = 150 * time.Millisecond
)

// gathersLoads reports whether the first instance of each domain gathers the loads.
func (i *Instance) gathersLoads() bool { return i.instances() >= minGatherInstances }

// updateLoads requests the loads of all engines, from their owners or from the instance that has
// gathered them, and does not wait for the answers. It does nothing if loads are not gathered.
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

// requestOwnerLoads sends an empty report to each other owner that has not answered within the last
// half of loadsInterval. The answers contain the loads; requestOwnerLoads does not wait for them.
func (i *Instance) requestOwnerLoads(ctx context.Context) {
	since := time.Now().Add(-loadsInterval / 2)
	for _, owner := range i.holder.View().OtherOwners {
		if i.peers.lastAnswer(owner).Before(since) {
			go i.sendReport(ctx, owner, i.newReport())
		}
	}
}

// requestLoads requests the loads that another instance, of the given rank in its domain, has
// gathered, and applies the answer, which also contains signals of upstreams. If that instance does
// not answer, the next in rank is asked from then on, until loadsRetryPause after the last failure.
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

// Loads implements snipeproto.Adapter. It returns the loads above zero and the signals of upstreams
// that this instance knows, with their ages.
func (s *peerServer) Loads(context.Context, *snipeproto.AdapterLoadsRequest) (*snipeproto.AdapterLoadsResponse, error) {
	answer := &snipeproto.AdapterLoadsResponse{Signals: encodeSignals(s.signals.CurrentUpdates())}
	for _, t := range s.balancer.LoadReports() {
		answer.Loads = append(answer.Loads, &snipeproto.EngineLoad{
			Engine: t.ID, Load: t.Load, AgeMilliseconds: t.Age.Milliseconds(),
		})
	}
	return answer, nil
}

// loadsRetryPause is how long after the last failure an instance other than the first in rank is
// asked for loads, before the first is asked again.
const loadsRetryPause = 3 * time.Second

// loadsReaderRank returns the rank, from 0, of the instance to ask for loads: the number of
// instances that failed one after the other, or 0 again if the last failure was loadsRetryPause
// ago. The rank may exceed the number of the domain's instances.
func (p *peers) loadsReaderRank() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.loadsFailedAt) >= loadsRetryPause {
		p.loadsFailures = 0
	}
	return p.loadsFailures
}

// noteLoadsAnswer records whether the instance with the given rank answered the request for loads.
// It returns true for the first failure, and for the first answer of the domain's first instance
// after failures, so that each loss and each return is logged once.
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
