package snipeentry

import (
	"context"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebound"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
)

// engineCalls returns the calls to engines, which record the answers that exceed a bound.
func (i *Instance) engineCalls() snipeadapter.Engine {
	calls := i.Platform.Engine
	return snipeadapter.Engine{
		Order: func(ctx context.Context, u *snipedirectory.Upstream, o snipeadapter.Order) (snipeadapter.Reply, error) {
			reply, err := calls.Order(ctx, u, o)
			i.noteEngineAnswer(u, err)
			return reply, err
		},
		Report: func(ctx context.Context, u *snipedirectory.Upstream) (snipeadapter.Report, error) {
			r, err := calls.Report(ctx, u)
			i.noteEngineAnswer(u, err)
			return r, err
		},
	}
}

// noteEngineAnswer records the answer of an engine if err says that it exceeded a bound.
func (i *Instance) noteEngineAnswer(u *snipedirectory.Upstream, err error) {
	if errors.Is(err, snipebound.ErrTooLarge) {
		i.gateway.RecordTooLarge(snipegateway.PartAnswer, err, snipelog.Fields{upstreamField: u.ID})
	}
}
