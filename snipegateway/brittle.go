package snipegateway

import (
	"context"
	"strconv"

	"snipepitch.example/snipepitch/snipelog"
)

// noteRefusedForRoom records that an upstream refused the request for want of room, which brittle upstreams
// bear only a few times a second.
func (c *call) noteRefusedForRoom(upstream string) {
	g := c.gateway
	g.Meter.Count("snipepitch_upstream_refusals_total{service=" + strconv.Quote(c.service) + "}")
	refusals, brittle := g.Brittle.RecordRefusal(c.service)
	if !brittle {
		return
	}
	b, _ := g.Brittle.Get(c.service)
	g.Log.Log(snipelog.BrittleRefusal, snipelog.Fields{
		requestField: c.ID, "Upstream": upstream, "Service": c.service, "MaxRefusals": b.MaxRefusals, "Refusals": refusals,
	})
}

// noteBrokenUpstream records that an upstream broke its answer or could not be connected to, unless the end of
// ctx may have caused it.
func (c *call) noteBrokenUpstream(ctx context.Context, upstream string) {
	if ctx.Err() == nil {
		c.gateway.Brittle.RecordBroken(c.service, upstream)
	}
}
