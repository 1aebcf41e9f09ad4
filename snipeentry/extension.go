package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
)

// ownershipServer serves the requests of other instances that own engines and cannot reach the
// store: for lease extensions, and for writes of ownership rows.
type ownershipServer struct {
	holder *snipeowner.Holder
	relay  *relay
}

// maxExtendedEngines bounds the engines of one request for a lease extension. An instance owns
// fewer engines.
const maxExtendedEngines = 100

// Promise implements snipeproto.Ownership: it grants or refuses a lease extension.
func (s *ownershipServer) Promise(_ context.Context, r *snipeproto.OwnershipPromiseRequest) (*snipeproto.OwnershipPromiseResponse, error) {
	if len(r.GetEngines()) > maxExtendedEngines {
		return nil, twirp.InvalidArgumentError("engines", "are too many")
	}
	q := snipeowner.ExtensionRequest{Unanswered: time.Duration(r.GetUnansweredMilliseconds()) * time.Millisecond}
	var err error
	if q.Owner, err = netip.ParseAddrPort(r.GetOwner()); err != nil {
		return nil, twirp.InvalidArgumentError("owner", "is no address")
	}
	for _, text := range r.GetEngines() {
		engine, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, twirp.InvalidArgumentError("engines", "holds what is no address")
		}
		q.Engines = append(q.Engines, engine)
	}
	return &snipeproto.OwnershipPromiseResponse{Granted: s.holder.GrantExtension(q)}, nil
}

// requestExtension asks one other instance to grant a lease extension: not to take over this
// instance's engines for the duration of a lease. It returns nil if the other instance grants the
// extension, snipeowner.ErrExtensionRefused if it refuses, and another error if it does not answer.
func (i *Instance) requestExtension(ctx context.Context, peer netip.AddrPort, q snipeowner.ExtensionRequest) error {
	r := &snipeproto.OwnershipPromiseRequest{
		Owner: q.Owner.String(), UnansweredMilliseconds: q.Unanswered.Milliseconds(),
	}
	for _, engine := range q.Engines {
		r.Engines = append(r.Engines, engine.String())
	}
	answer, err := i.peers.owners.client(peer).Promise(ctx, r)
	switch {
	case err != nil:
		return err
	case !answer.GetGranted():
		return snipeowner.ErrExtensionRefused
	default:
		return nil
	}
}
