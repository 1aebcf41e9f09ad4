package snipelease

import (
	"context"
	"net/http"

	"snipepitch.example/snipepitch/snipeproto"
)

// PathPrefix is the path at which Handler is mounted.
const PathPrefix = snipeproto.LeasePathPrefix

// maxAskedPeers is how many peers are asked for owners.
const maxAskedPeers = 2

// Handler returns the handler of peers' requests; the caller checks the peer secret.
func (h *Holder) Handler() http.Handler { return snipeproto.NewLeaseServer(&server{holder: h}) }

type server struct{ holder *Holder }

// GetOwners implements snipeproto.Lease. It returns the owner rows as of this instance's last step,
// and none before its first step.
func (s *server) GetOwners(context.Context, *snipeproto.GetOwnersRequest) (*snipeproto.GetOwnersResponse, error) {
	out := &snipeproto.GetOwnersResponse{}
	rows := s.holder.publishedRows.Load()
	if rows == nil {
		return out, nil
	}
	for engine, r := range *rows {
		out.Owners = append(out.Owners, &snipeproto.OwnerState{
			Engine: engine, Instance: r.Instance, Incarnation: r.Incarnation, Fence: r.version,
		})
	}
	return out, nil
}

// askOwners requests the owner rows known to some peers, so that an instance that starts while the
// table is down can route calls. It does nothing if any owner row is known here. The result never
// makes this instance an owner.
func (h *Holder) askOwners(ctx context.Context) {
	if h.Members.Peers == nil || len(h.rows) > 0 {
		return
	}
	for _, address := range h.Members.Peers(maxAskedPeers) {
		client := snipeproto.NewLeaseProtobufClient("http://"+address.String(), h.Members.HTTP)
		out, err := client.GetOwners(ctx, &snipeproto.GetOwnersRequest{})
		if err != nil {
			continue
		}
		for _, o := range out.GetOwners() {
			if h.rows[o.GetEngine()].version < o.GetFence() {
				h.rows[o.GetEngine()] = ownerRow{owner: owner{o.GetInstance(), o.GetIncarnation()}, version: o.GetFence()}
			}
		}
	}
}
