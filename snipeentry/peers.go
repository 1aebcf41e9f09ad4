package snipeentry

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeproto"
)

// peerServer serves other instances' questions to this instance's desk.
type peerServer struct {
	desk *snipeadapter.Desk
}

// Ensure implements snipeproto.Adapter.
func (s *peerServer) Ensure(ctx context.Context, r *snipeproto.AdapterEnsureRequest) (*snipeproto.AdapterEnsureResponse, error) {
	a := snipecatalog.Adapter{Model: r.GetModel(), Name: r.GetAdapter()}
	version, err := s.desk.Ensure(ctx, r.GetEngine(), a, r.GetVersion())
	switch {
	case errors.Is(err, snipeadapter.ErrNotOwner):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case errors.Is(err, snipeadapter.ErrFull):
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &snipeproto.AdapterEnsureResponse{Version: version}, nil
}

// Used implements snipeproto.Adapter.
func (s *peerServer) Used(_ context.Context, r *snipeproto.AdapterUsedRequest) (*snipeproto.AdapterUsedResponse, error) {
	all := make([]snipecatalog.Adapter, 0, len(r.GetAdapters()))
	for _, name := range r.GetAdapters() {
		all = append(all, snipecatalog.Adapter{Model: r.GetModel(), Name: name})
	}
	s.desk.Used(r.GetEngine(), all)
	return &snipeproto.AdapterUsedResponse{}, nil
}

// peers asks other instances' desks.
type peers struct {
	http *http.Client

	lock    sync.Mutex // guards clients
	clients map[netip.AddrPort]snipeproto.Adapter
}

func (p *peers) client(address netip.AddrPort) snipeproto.Adapter {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.clients == nil {
		p.clients = make(map[netip.AddrPort]snipeproto.Adapter)
	}
	c := p.clients[address]
	if c == nil {
		c = snipeproto.NewAdapterProtobufClient("http://"+address.String(), p.http)
		p.clients[address] = c
	}
	return c
}

// ensure has an engine's owner load an adapter.
func (i *Instance) ensure(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64) (int64, error) {
	owner, ok := i.holder.View().Owners[u.Address]
	if !ok {
		return 0, errors.Wrap(snipeadapter.ErrNotOwner, u.ID)
	}
	if owner.Self {
		return i.desk.Ensure(ctx, u.ID, a, version)
	}
	answer, err := i.peers.client(owner.Instance.Peer).Ensure(ctx, &snipeproto.AdapterEnsureRequest{
		Engine: u.ID, Model: a.Model, Adapter: a.Name, Version: version,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "owner %s", owner.Instance.Name)
	}
	return answer.GetVersion(), nil
}
