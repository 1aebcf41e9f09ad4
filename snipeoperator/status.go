package snipeoperator

import (
	"context"
	"slices"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipeproto"
)

// StatusPathPrefix is where the peers' side of this package is mounted.
const StatusPathPrefix = snipeproto.StatusPathPrefix

// Own is what only this instance knows. It serves peers as snipeproto.Status;
// the peers' listener has checked their secret. Exported fields are set before
// the first request.
type Own struct {
	// Name is the instance's name.
	Name string
	// Revision returns the revision in force.
	Revision func() uint64
	// View returns instances and owners.
	View func() *snipelease.View
	// Resident returns the adapters at an owned engine and the calls in flight.
	Resident func(engine string) ([]snipecall.Adapter, int)
	// Drain starts a graceful stop.
	Drain func()
}

// Describe implements snipeproto.Status.
func (o *Own) Describe(context.Context, *snipeproto.DescribeRequest) (*snipeproto.DescribeResponse, error) {
	out := &snipeproto.DescribeResponse{Name: o.Name, Revision: o.Revision()}
	for engine, owner := range o.View().Owners {
		if owner.Instance.Name != o.Name {
			continue
		}
		adapters, inFlight := o.Resident(engine)
		e := &snipeproto.OwnedEngine{Name: engine, InFlight: int64(inFlight)}
		for _, a := range adapters {
			e.Resident = append(e.Resident, a.String())
		}
		slices.Sort(e.Resident)
		out.Engines = append(out.Engines, e)
	}
	return out, nil
}

// Stop implements snipeproto.Status.
func (o *Own) Stop(context.Context, *snipeproto.StopRequest) (*snipeproto.StopResponse, error) {
	o.Drain()
	return &snipeproto.StopResponse{}, nil
}
