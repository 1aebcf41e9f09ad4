package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
)

// reportUses tells engines' owners what was used, so that they evict what is not.
// A report that is lost is not repeated: the next one says nearly the same.
func (i *Instance) reportUses(ctx context.Context) {
	owners := i.holder.View().Owners
	for id, uses := range i.gateway.Chooser.TakeUses() {
		u := i.directory.Snapshot().ByID(id)
		if u == nil {
			continue
		}
		owner, ok := owners[u.Address]
		switch {
		case !ok:
		case owner.Self:
			i.board.Report(id, i.Settings.Peers.String(), i.balancer.Mine(id))
			for _, a := range i.desk.Used(id, uses) {
				i.residency.Deny(id, a)
			}
		default:
			go i.reportUse(ctx, owner.Instance.Peer, id, uses)
		}
	}
	i.askQuietOwner(ctx, owners)
}

// quietTime is how long an owner may not have been heard of. What it says of its engines'
// loads counts for two seconds; engines of which nothing is known seem idle, and those of an
// owner of two engines, which few instances use, drew twice their share of the requests.
const quietTime = time.Second

// askQuietOwner reports no use to the owner that was not heard of for longest, so that it
// tells the loads of its engines: one owner a step, however many there are.
func (i *Instance) askQuietOwner(ctx context.Context, owners map[netip.AddrPort]snipeowner.Owner) {
	owner, engine := quietOwner(i.engines(), owners, i.peers.heardAt, time.Now().Add(-quietTime))
	if engine == nil {
		return
	}
	// Not asked again before it has had the time to answer.
	i.peers.hear(owner)
	go i.report(ctx, owner, i.newReport(engine.ID, engine.Models[0]))
}

// quietOwner returns the owner that was not heard of for longest, since before a time, and
// one of its engines; nil when all were.
func quietOwner(engines []*snipedirectory.Upstream, owners map[netip.AddrPort]snipeowner.Owner, heardAt func(netip.AddrPort) time.Time, since time.Time) (owner netip.AddrPort, engine *snipedirectory.Upstream) {
	for _, u := range engines {
		o, ok := owners[u.Address]
		if !ok || o.Self || len(u.Models) == 0 {
			continue
		}
		if heard := heardAt(o.Instance.Peer); heard.Before(since) {
			owner, engine, since = o.Instance.Peer, u, heard
		}
	}
	return owner, engine
}

// reportTimeout bounds one report of use: a hundred times the way there and back. An owner that
// does not answer in time is asked for no loads, and what waits for it goes elsewhere while most
// objectives can still be met.
const reportTimeout = 300 * time.Millisecond

// reportUse reports the use of one engine.
func (i *Instance) reportUse(ctx context.Context, to netip.AddrPort, id string, uses map[snipecatalog.Adapter]int) {
	byModel := make(map[string]*snipeproto.AdapterUsedRequest)
	for a, n := range uses {
		r := byModel[a.Model]
		if r == nil {
			r = i.newReport(id, a.Model)
			byModel[a.Model] = r
		}
		r.Adapters = append(r.Adapters, a.Name)
		r.Counts = append(r.Counts, int64(n))
	}
	for _, r := range byModel {
		i.report(ctx, to, r)
	}
}

// newReport returns a report that tells of no use yet.
func (i *Instance) newReport(id, model string) *snipeproto.AdapterUsedRequest {
	return &snipeproto.AdapterUsedRequest{
		Engine: id, Model: model, Instance: i.Settings.Peers.String(), Load: i.balancer.Mine(id),
	}
}

// report sends a report and takes what its answer tells.
func (i *Instance) report(ctx context.Context, to netip.AddrPort, r *snipeproto.AdapterUsedRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := i.peers.client(to).Used(ctx, r)
	changed := i.peers.reached(to, err == nil)
	switch {
	case err != nil && changed:
		i.Log.Error(snipelog.PeerUnreached, err, snipelog.Fields{"Peer": to})
	case changed:
		i.Log.Log(snipelog.PeerReached, snipelog.Fields{"Peer": to})
	}
	if err == nil {
		i.peers.hear(to)
		i.learn(r, answer)
	}
}

// learn takes what an engine's owner knows of the adapters in a report of use.
func (i *Instance) learn(r *snipeproto.AdapterUsedRequest, answer *snipeproto.AdapterUsedResponse) {
	for _, name := range answer.GetGone() {
		i.residency.Deny(r.GetEngine(), snipecatalog.Adapter{Model: r.GetModel(), Name: name})
	}
	for _, v := range answer.GetEvicted() {
		i.residency.Deny(v.GetEngine(), snipecatalog.Adapter{Model: r.GetModel(), Name: v.GetAdapter()})
	}
	for _, l := range answer.GetLoads() {
		i.balancer.Told(l.GetEngine(), l.GetLoad())
	}
	for _, other := range answer.GetReplicas() {
		a := snipecatalog.Adapter{Model: r.GetModel(), Name: other.GetAdapter()}
		i.residency.Tell(other.GetEngine(), a, other.GetVersion())
	}
}

// tellOwn takes what others learn from this instance's answers: the loads of its own
// engines and what they no longer hold.
func (i *Instance) tellOwn() {
	recent, last := i.desk.Evictions(i.evicted)
	i.evicted = last
	for _, v := range recent {
		i.residency.Deny(v.Engine, v.Adapter)
	}
	for engine, load := range i.board.Loads() {
		i.balancer.Told(engine, load)
	}
}
