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
// to the engine's owner, which adds them up. With fewer than minGatherInstances instances, each
// instance receives the loads in the answers to its own reports to the owners. With more, each
// instance uses only a few of the engines each second, and if all instances asked all owners, there
// would be a message between each pair of instances. Then one instance of each failure domain
// gathers the loads: the first by rank that is neither leaving nor on standby (see readers). It
// asks the owners, and the other instances of the domain ask that instance.

const (
	// minGatherInstances is the least number of live instances at which the first instance by rank
	// of each domain gathers the loads.
	minGatherInstances = 32
	// loadsInterval is the time between two requests of an instance for the loads of all engines.
	// An engine receives one or two requests of callers in this time.
	loadsInterval = 160 * time.Millisecond
	// loadsTimeout bounds one request for loads. A later answer is of no use.
	loadsTimeout = 150 * time.Millisecond
	// loadsRetryPause is the time after the last failed request for loads after which the first
	// instance by rank is asked again. Until then, instances of lower rank are asked in its place.
	loadsRetryPause = 3 * time.Second
)

// gathersLoads reports whether one instance of each domain gathers the loads.
func (i *Instance) gathersLoads() bool { return i.instances() >= minGatherInstances }

// updateLoads requests the loads of all engines and does not wait for the answers. The instance
// that gathers the loads for its domain requests them from the engines' owners, any other instance
// from that instance. updateLoads does nothing if there are fewer than minGatherInstances
// instances.
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
// half of loadsInterval. The answers contain the loads of the owners' engines. requestOwnerLoads
// does not wait for the answers.
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
		load, w := decodeWork(l, i.countIgnoredWork)
		age := max(milliseconds(l.GetAgeMilliseconds()), 0)
		all = append(all, snipebalance.LoadReport{ID: l.GetEngine(), Load: load, Age: age, Work: w})
		i.notePaced(l.GetEngine(), w)
	}
	i.balancer.MergeLoads(all)
	i.signals.Merge(decodeSignals(answer.GetSignals()))
	i.brittle.Merge(decodeBrittle(answer.GetBrittle(), answer.GetBrittleEnded()))
}

// loadsReaderRank returns the rank, from 0, of the instance to ask for loads: loadsFailures, which
// it sets to 0 if the last failure was at least loadsRetryPause ago. The rank may exceed the number
// of the domain's instances; the caller then starts over at the first.
func (p *peers) loadsReaderRank() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.loadsFailedAt) >= loadsRetryPause {
		p.loadsFailures = 0
	}
	return p.loadsFailures
}

// noteLoadsAnswer records whether the instance with the given rank answered the request for loads.
// If several requests to an instance fail at the same time, loadsFailures is increased only once.
// It returns true for the first failure, and for the first answer of the instance of rank 0 after
// failures, so that each loss and each return is logged once.
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

// Loads implements snipeproto.Adapter. It returns the loads above zero, the recent paces and the
// signals of upstreams that this instance knows, with their ages.
func (s *peerServer) Loads(context.Context, *snipeproto.AdapterLoadsRequest) (*snipeproto.AdapterLoadsResponse, error) {
	answer := &snipeproto.AdapterLoadsResponse{Signals: encodeSignals(s.signals.CurrentUpdates())}
	answer.Brittle, answer.BrittleEnded = encodeBrittle(s.brittle.CurrentUpdates())
	for _, t := range s.balancer.LoadReports() {
		l := encodeLoad(t.ID, t.Load, t.Work)
		l.AgeMilliseconds = t.Age.Milliseconds()
		answer.Loads = append(answer.Loads, l)
	}
	return answer, nil
}
