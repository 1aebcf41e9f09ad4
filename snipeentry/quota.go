package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipequota"
	"snipepitch.example/snipepitch/sniperoute"
)

// buildQuotas creates the issuer and the account for workspace quotas. The issuer of one instance
// grants units (requests or tokens) of quotas to all instances; every instance has an issuer so
// that any can take over. The account requests units from it and charges requests to them.
func (i *Instance) buildQuotas() {
	s := i.Settings
	bounds := snipequota.Bounds{Span: s.QuotaSpan.Value(), Overrun: s.QuotaOverrun, Slack: s.QuotaSlack}
	i.issuer = &snipequota.Issuer{Quota: i.quotaOf, Instances: i.instanceNames, Bounds: bounds}
	i.account = &snipequota.Account{
		Ask: i.requestUnits, Limited: i.quotasDeclared, Instances: i.sharingInstances, Bounds: bounds, Log: i.Log,
	}
}

// gatewayQuotas returns the functions by which the gateway counts requests.
func (i *Instance) gatewayQuotas() snipegateway.Quotas {
	return snipegateway.Quotas{Take: i.account.Take, TakeAgain: i.account.Charge, Return: i.account.Return}
}

// sharingInstances returns the number of instances by which a limit on all instances together is
// divided: an upstream's limit, or a quota while no issuer answers. It is at least
// minSharingInstances, since an instance that has just started may know no others yet.
func (i *Instance) sharingInstances() int { return max(i.instances(), minSharingInstances) }

// quotaOf returns a workspace's quota in the current catalog, or the zero Quota if no catalog is
// known or it has no such workspace.
func (i *Instance) quotaOf(workspace string) snipecatalog.Quota {
	c := i.catalog.Catalog()
	if c == nil {
		return snipecatalog.Quota{}
	}
	w := c.WorkspaceNamed(workspace)
	if w == nil {
		return snipecatalog.Quota{}
	}
	return w.Quota
}

// quotasDeclared reports whether a catalog is known in which any workspace has a quota.
func (i *Instance) quotasDeclared() bool {
	c := i.catalog.Catalog()
	return c != nil && c.Limited()
}

// instanceNames returns the names under which the live instances request units: their addresses for
// other instances.
func (i *Instance) instanceNames() []string {
	ranked := i.holder.View().Ranked
	all := make([]string, 0, len(ranked))
	for _, other := range ranked {
		all = append(all, other.Peer.String())
	}
	return all
}

// errNoIssuer reports that no instance that grants units is known.
var errNoIssuer = errors.New("no instance grants units of quotas")

// quotaIssuer returns the instance that grants units: the one with the highest hash among the live
// instances that are neither leaving nor on standby, or false if there is none. The issuer changes
// if it ends, leaves or goes on standby, or if an instance with a higher hash appears.
func (i *Instance) quotaIssuer() (netip.AddrPort, bool) {
	var best netip.AddrPort
	var highest uint64
	for _, other := range i.holder.View().Ranked {
		if other.Leaving || other.Standby {
			continue
		}
		if rank := sniperoute.Hash("quota", other.Peer.String()); rank >= highest {
			best, highest = other.Peer, rank
		}
	}
	return best, best.IsValid()
}

// requestUnits requests units from the issuer, which may be this instance, and returns the issuer's
// grants. It returns errNoIssuer if no issuer is known.
func (i *Instance) requestUnits(ctx context.Context, asks []snipequota.Ask) ([]snipequota.Grant, error) {
	issuer, ok := i.quotaIssuer()
	if !ok {
		return nil, errNoIssuer
	}
	self := i.Settings.Peers
	if issuer == self {
		return i.issuer.Issue(self.String(), asks), nil
	}
	r := &snipeproto.QuotaIssueRequest{Instance: self.String()}
	for _, a := range asks {
		r.Asks = append(r.Asks, &snipeproto.QuotaAsk{
			Workspace: a.Workspace, Need: a.Need, First: a.FirstNeed, Ahead: a.AheadOfUse, Held: a.Held, Alone: a.FallbackUsed,
			Demand: a.Demand, Level: a.Level, AgeMilliseconds: a.LevelAge.Milliseconds(), Known: a.LevelKnown,
		})
	}
	answer, err := i.peers.quotas.client(issuer).Issue(ctx, r)
	if err != nil {
		return nil, errors.Wrapf(err, "issuer %s", issuer)
	}
	all := make([]snipequota.Grant, 0, len(answer.GetGrants()))
	for _, g := range answer.GetGrants() {
		all = append(all, snipequota.Grant{
			Workspace: g.GetWorkspace(), Units: g.GetUnits(), Share: g.GetShare(),
			Wait: time.Duration(g.GetWaitMilliseconds()) * time.Millisecond, Level: g.GetLevel(),
		})
	}
	return all, nil
}

// quotaServer serves other instances' requests for units.
type quotaServer struct{ issuer *snipequota.Issuer }

// Issue implements snipeproto.Quota. It grants units even if this instance is not the issuer by its
// own view, since views of the live instances may differ for a while.
func (s *quotaServer) Issue(_ context.Context, r *snipeproto.QuotaIssueRequest) (*snipeproto.QuotaIssueResponse, error) {
	asks := make([]snipequota.Ask, 0, len(r.GetAsks()))
	for _, a := range r.GetAsks() {
		asks = append(asks, snipequota.Ask{
			Workspace: a.GetWorkspace(), Need: a.GetNeed(), FirstNeed: a.GetFirst(), AheadOfUse: a.GetAhead(), Held: a.GetHeld(),
			FallbackUsed: a.GetAlone(), Demand: a.GetDemand(), Level: a.GetLevel(),
			LevelAge: time.Duration(a.GetAgeMilliseconds()) * time.Millisecond, LevelKnown: a.GetKnown(),
		})
	}
	answer := &snipeproto.QuotaIssueResponse{}
	for _, g := range s.issuer.Issue(r.GetInstance(), asks) {
		answer.Grants = append(answer.Grants, &snipeproto.QuotaGrant{
			Workspace: g.Workspace, Units: g.Units, Share: g.Share, WaitMilliseconds: g.Wait.Milliseconds(), Level: g.Level,
		})
	}
	return answer, nil
}
