package snipeinstance

import (
	"net/http"

	"snipepitch.example/snipepitch/snipeoperator"
	"snipepitch.example/snipepitch/snipepeer"
	"snipepitch.example/snipepitch/snipeproto"
)

// buildOperators creates the operator service and mounts the status service, through which other
// instances query this one, on peers.
func (i *Instance) buildOperators(peers *http.ServeMux) *snipeoperator.Server {
	own := &snipeoperator.LocalStatus{
		Name: i.Config.Name, Revision: i.revision, View: i.holder.View,
		Resident: i.dispatch.Resident, Drain: i.Stop,
	}
	status := snipepeer.Authorized(i.Config.PeerSecret, snipeproto.NewStatusServer(own))
	peers.Handle(snipeoperator.StatusPathPrefix, status)
	return &snipeoperator.Server{
		Settings: i.settings, BootstrapKeyHash: i.Config.BootstrapKeyHash,
		View: i.holder.View, Local: own,
		Peers: &snipepeer.SecretClient{Client: i.forward.Fresh, Secret: i.Config.PeerSecret},
	}
}
