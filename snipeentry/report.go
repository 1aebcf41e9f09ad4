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

// reportUses tells engines' owners what has changed in the use of their engines: one report
// an owner. One that is lost is not repeated; what is in flight is told again while it lasts.
func (i *Instance) reportUses(ctx context.Context) {
	v := i.holder.View()
	directory := i.directory.Snapshot()
	reports := make(map[netip.AddrPort]*snipeproto.AdapterReportRequest)
	for id, uses := range i.gateway.Chooser.TakeUses() {
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
		i.addLongestUnheardOwner(v.Others, reports)
	}
	for peer, r := range reports {
		go i.sendReport(ctx, peer, r)
	}
}

// recordOwnUse notes the use of an engine that this instance owns.
func (i *Instance) recordOwnUse(id string, uses map[snipecatalog.Adapter]snipeadapter.Use) {
	self := i.Settings.Peers.String()
	i.board.Report(id, self, i.balancer.Mine(id))
	for _, a := range i.controller.Used(id, self, uses) {
		i.residency.Deny(id, a)
	}
}

// ownerUnheardTime is how long an owner may not have been heard of. What it says of its engines'
// loads counts for two seconds; engines of which nothing is known seem idle and draw too many
// requests.
const ownerUnheardTime = time.Second

// addLongestUnheardOwner adds a report of no use to the owner that was not heard of for longest, so
// that it tells the loads of its engines: one owner a step, however many there are.
func (i *Instance) addLongestUnheardOwner(owners []netip.AddrPort, reports map[netip.AddrPort]*snipeproto.AdapterReportRequest) {
	owner, ok := longestUnheardOwner(owners, i.peers.lastAnswer, time.Now().Add(-ownerUnheardTime))
	if !ok {
		return
	}
	// Not asked again before it has had the time to answer.
	i.peers.noteAnswer(owner)
	if reports[owner] == nil {
		reports[owner] = i.newReport()
	}
}

// longestUnheardOwner returns the owner that was not heard of for longest, since before a time; false
// when all were.
func longestUnheardOwner(owners []netip.AddrPort, lastAnswer func(netip.AddrPort) time.Time, since time.Time) (found netip.AddrPort, ok bool) {
	for _, owner := range owners {
		if heard := lastAnswer(owner); heard.Before(since) {
			found, since, ok = owner, heard, true
		}
	}
	return found, ok
}

// newReport returns a report that tells of no use yet.
func (i *Instance) newReport() *snipeproto.AdapterReportRequest {
	return &snipeproto.AdapterReportRequest{Instance: i.Settings.Peers.String()}
}

// encodeUse returns the use of one engine for a report.
func (i *Instance) encodeUse(id string, uses map[snipecatalog.Adapter]snipeadapter.Use) *snipeproto.EngineUse {
	e := &snipeproto.EngineUse{Engine: id, Load: i.balancer.Mine(id)}
	for a, u := range uses {
		e.Adapters = append(e.Adapters, &snipeproto.AdapterUse{
			Model: a.Model, Adapter: a.Name, Begun: int64(u.Begun), Running: u.Running,
		})
	}
	return e
}

// decodeUse returns the use of one engine from a report.
func decodeUse(e *snipeproto.EngineUse) map[snipecatalog.Adapter]snipeadapter.Use {
	uses := make(map[snipecatalog.Adapter]snipeadapter.Use, len(e.GetAdapters()))
	for _, u := range e.GetAdapters() {
		a := snipecatalog.Adapter{Model: u.GetModel(), Name: u.GetAdapter()}
		uses[a] = snipeadapter.Use{Begun: int(u.GetBegun()), Running: u.GetRunning()}
	}
	return uses
}

// reportTimeout bounds one report of use: a hundred times the way there and back. An owner that
// does not answer in time is asked for no loads, and what waits for it goes elsewhere while most
// objectives can still be met.
const reportTimeout = 300 * time.Millisecond

// peerField names another instance in log lines.
const peerField = "Peer"

// sendReport sends a report and takes what its answer tells.
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

// applyReport takes what an owner knows of its engines and of the adapters in a report.
func (i *Instance) applyReport(answer *snipeproto.AdapterReportResponse) {
	for _, gone := range answer.GetGone() {
		i.residency.Deny(gone.GetEngine(), decodeAdapter(gone))
	}
	for _, v := range answer.GetEvicted() {
		i.residency.Deny(v.GetEngine(), decodeAdapter(v))
	}
	for _, l := range answer.GetLoads() {
		i.balancer.Told(l.GetEngine(), l.GetLoad())
	}
	for _, other := range answer.GetReplicas() {
		i.residency.Tell(other.GetEngine(), decodeAdapter(other), other.GetVersion())
	}
}

// encodeAdapter names an adapter on an engine.
func encodeAdapter(engine string, a snipecatalog.Adapter) *snipeproto.AdapterReplica {
	return &snipeproto.AdapterReplica{Engine: engine, Model: a.Model, Adapter: a.Name}
}

func decodeAdapter(r *snipeproto.AdapterReplica) snipecatalog.Adapter {
	return snipecatalog.Adapter{Model: r.GetModel(), Name: r.GetAdapter()}
}

// applyOwnLoads takes what others learn from this instance's answers: the loads of its own
// engines and what they no longer hold.
func (i *Instance) applyOwnLoads() {
	recent, last := i.controller.Evictions(i.lastEviction)
	i.lastEviction = last
	for _, v := range recent {
		i.residency.Deny(v.Engine, v.Adapter)
	}
	for engine, load := range i.board.Loads() {
		i.balancer.Told(engine, load)
	}
}
