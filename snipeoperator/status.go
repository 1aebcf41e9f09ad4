package snipeoperator

import (
	"context"
	"slices"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipeproto"
)

// StatusPathPrefix is the path prefix at which the status service for peers is mounted.
const StatusPathPrefix = snipeproto.StatusPathPrefix

// LocalStatus provides the state that only this instance has. It implements snipeproto.Status for
// other instances; the peers' listener checks the peer secret. Exported fields are set before the
// first request.
type LocalStatus struct {
	// Name is the instance's name.
	Name string
	// Revision returns the settings revision in force.
	Revision func() uint64
	// View returns the instances and the owners of engines.
	View func() *snipelease.View
	// Resident returns the adapters that an owned engine holds and its number of calls in flight.
	Resident func(engine string) ([]snipecall.Adapter, int)
	// Drain starts a graceful stop.
	Drain func()
}

// Describe implements snipeproto.Status. It returns the settings revision in force and the state of
// each engine that this instance owns.
func (o *LocalStatus) Describe(context.Context, *snipeproto.DescribeRequest) (*snipeproto.DescribeResponse, error) {
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

// Stop implements snipeproto.Status. It starts a graceful stop and returns at once.
func (o *LocalStatus) Stop(context.Context, *snipeproto.StopRequest) (*snipeproto.StopResponse, error) {
	o.Drain()
	return &snipeproto.StopResponse{}, nil
}
