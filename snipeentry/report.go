package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// reportUses reports the use of adapters to the owners of the engines, in one report for each
// owner, and does not wait for the answers. It reports the engines whose use has changed, and from
// time to time those with requests in flight. Uses of engines that this instance owns are recorded
// without a report. Uses of engines that are gone or have no owner are dropped. A lost report is
// not repeated, but requests in flight are reported again as long as they run. If the loads are not
// gathered (see loads.go), an empty report is also sent to at most one owner that has not answered
// within ownerStaleAfter.
func (i *Instance) reportUses(ctx context.Context) {
	v := i.holder.View()
	directory := i.directory.Snapshot()
	reports := make(map[netip.AddrPort]*snipeproto.AdapterReportRequest)
	for id, uses := range i.gateway.Chooser.TakeUseReports() {
		u := directory.ByID(id)
		if u == nil {
			continue
		}
		owner, ok := v.Owners[u.Address]
		switch {
		case !ok:
		case owner.Self:
			i.recordOwnUse(id, uses)
		default:
			peer := owner.Instance.Peer
			if reports[peer] == nil {
				reports[peer] = i.newReport()
			}
			reports[peer].Engines = append(reports[peer].Engines, i.encodeUse(id, uses))
		}
	}
	if !i.gathersLoads() {
		i.addStalestOwner(v.OtherOwners, reports)
	}
	for peer, r := range reports {
		go i.sendReport(ctx, peer, r)
	}
}

// recordOwnUse records this instance's use of an engine that it owns, as peerServer.recordUse does
// for other instances, and drops the adapters that the engine neither holds nor loads from the
// residency.
func (i *Instance) recordOwnUse(id string, uses map[snipecatalog.Adapter]snipeadapter.Use) {
	self := i.Settings.Peers.String()
	i.board.ReportWork(id, self, i.balancer.InFlight(id), i.balancer.OwnWork(id))
	for _, a := range i.controller.RecordUse(id, self, uses) {
		i.residency.RecordAbsent(id, a)
	}
}

// ownerStaleAfter is the time since an owner's last answer after which the owner may be sent an
// empty report. Longer: loads expire. A load that an owner reported is used for two seconds, and an
// engine without a known load seems idle and draws too many requests. Shorter: more reports.
const ownerStaleAfter = time.Second

// addStalestOwner adds an empty report for the owner that has not answered for the longest time, so
// that the owner returns the loads of its engines. It adds at most one report on each call, and
// none if all owners have answered within ownerStaleAfter or reports already holds one for that
// owner.
func (i *Instance) addStalestOwner(owners []netip.AddrPort, reports map[netip.AddrPort]*snipeproto.AdapterReportRequest) {
	owner, ok := stalestOwner(owners, i.peers.lastAnswer, time.Now().Add(-ownerStaleAfter))
	if !ok {
		return
	}
	// Give the owner time to answer before it is asked again.
	i.peers.noteAnswer(owner)
	if reports[owner] == nil {
		reports[owner] = i.newReport()
	}
}

// stalestOwner returns the owner whose last answer is the oldest, if that answer came before since.
// It returns false if all owners have answered since then, or if there are none.
func stalestOwner(owners []netip.AddrPort, lastAnswer func(netip.AddrPort) time.Time, since time.Time) (found netip.AddrPort, ok bool) {
	for _, owner := range owners {
		if answered := lastAnswer(owner); answered.Before(since) {
			found, since, ok = owner, answered, true
		}
	}
	return found, ok
}

// newReport returns a report from this instance without any use.
func (i *Instance) newReport() *snipeproto.AdapterReportRequest {
	return &snipeproto.AdapterReportRequest{Instance: i.Settings.Peers.String()}
}

// encodeUse returns the message for this instance's use of one engine, with the weight of its
// requests in flight there.
func (i *Instance) encodeUse(id string, uses map[snipecatalog.Adapter]snipeadapter.Use) *snipeproto.EngineUse {
	w := i.balancer.OwnWork(id)
	e := &snipeproto.EngineUse{
		Engine: id, Load: i.balancer.InFlight(id), Requests: round(w.Requests), PendingTokens: round(w.PendingTokens),
		ReservedTokens: round(w.ReservedTokens), PacePercent: round(w.Pace * percent), PaceAgeMilliseconds: paceAge(w),
	}
	for a, u := range uses {
		e.Adapters = append(e.Adapters, &snipeproto.AdapterUse{
			Model: a.Model, Adapter: a.Name, Begun: int64(u.Begun), Running: u.Running,
		})
	}
	return e
}

// decodeUse returns the use of one engine, by adapter, from its message.
func decodeUse(e *snipeproto.EngineUse) map[snipecatalog.Adapter]snipeadapter.Use {
	uses := make(map[snipecatalog.Adapter]snipeadapter.Use, len(e.GetAdapters()))
	for _, u := range e.GetAdapters() {
		a := snipecatalog.Adapter{Model: u.GetModel(), Name: u.GetAdapter()}
		uses[a] = snipeadapter.Use{Begun: int(u.GetBegun()), Running: u.GetRunning()}
	}
	return uses
}

// reportTimeout bounds one report of use, at a hundred times the round-trip time between instances.
// An owner that does not answer in time is not asked to load adapters until it answers a report,
// and the requests that wait for it go elsewhere. Longer: these requests miss more latency
// objectives.
const reportTimeout = 300 * time.Millisecond

// peerField is the log field for another instance.
const peerField = "Peer"

// sendReport sends a report to an owner, waits for the answer, and applies it. It records whether
// the owner answered, and logs when that changes.
func (i *Instance) sendReport(ctx context.Context, to netip.AddrPort, r *snipeproto.AdapterReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := i.peers.adapters.client(to).Report(ctx, r)
	changed := i.peers.noteReachability(to, err == nil)
	switch {
	case err != nil && changed:
		i.Log.Error(snipelog.PeerUnreached, err, snipelog.Fields{peerField: to})
	case changed:
		i.Log.Log(snipelog.PeerReached, snipelog.Fields{peerField: to})
	}
	if err == nil {
		i.peers.noteAnswer(to)
		i.applyReport(answer)
	}
}

// applyReport applies an owner's answer to a report: the loads of its engines, the adapters that
// they no longer hold, and the replicas of the reported adapters.
func (i *Instance) applyReport(answer *snipeproto.AdapterReportResponse) {
	for _, gone := range answer.GetGone() {
		i.residency.RecordAbsent(gone.GetEngine(), decodeAdapter(gone))
	}
	for _, v := range answer.GetEvicted() {
		i.residency.RecordAbsent(v.GetEngine(), decodeAdapter(v))
	}
	for _, l := range answer.GetLoads() {
		load, w := decodeWork(l, i.countIgnoredWork)
		i.balancer.SetWork(l.GetEngine(), load, w)
		i.notePaced(l.GetEngine(), w)
	}
	for _, other := range answer.GetReplicas() {
		i.residency.RecordHeld(other.GetEngine(), decodeAdapter(other), other.GetVersion())
	}
}

// encodeAdapter returns the message for an adapter on an engine.
func encodeAdapter(engine string, a snipecatalog.Adapter) *snipeproto.AdapterReplica {
	return &snipeproto.AdapterReplica{Engine: engine, Model: a.Model, Adapter: a.Name}
}

// decodeAdapter returns the adapter of a message.
func decodeAdapter(r *snipeproto.AdapterReplica) snipecatalog.Adapter {
	return snipecatalog.Adapter{Model: r.GetModel(), Name: r.GetAdapter()}
}

// applyOwnLoads applies to this instance's own state what its answers to reports contain for other
// instances: the loads of the engines that it owns, and the adapters that these engines have
// evicted since the last call.
func (i *Instance) applyOwnLoads() {
	recent, last := i.controller.Evictions(i.lastEviction)
	i.lastEviction = last
	for _, v := range recent {
		i.residency.RecordAbsent(v.Engine, v.Adapter)
	}
	for engine, t := range i.board.Totals() {
		i.balancer.SetWork(engine, t.Load, t.Work)
		i.notePaced(engine, t.Work)
	}
}
