package snipegateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

// brittle reports whether the upstreams of the request's service crash when they refuse too many requests.
func (c *call) brittle() bool {
	_, brittle := c.gateway.Brittle.Get(c.service)
	return brittle
}

// needsEnginePermit reports whether the request may be sent to an engine only with a permit.
func (c *call) needsEnginePermit() bool {
	return c.Adapter.Model != "" && c.gateway.Admission.AcquireEngine != nil && c.brittle()
}

// chooseEngineWithPermit chooses an engine and gets a permit for it. If none is free there, other engines that hold
// the adapter are chosen, and at last the request waits for a permit of the first one, if that is expected in time.
func (c *call) chooseEngineWithPermit(ctx context.Context) (Choice, error) {
	excluded, maxLoadWait := c.allTried(), c.maxLoadWait()
	var first Choice
	for range maxPermits {
		choice, err := c.gateway.Chooser.Choose(ctx, c.service, &c.Request, excluded, maxLoadWait)
		if err != nil && first.Upstream == nil {
			return choice, c.fullError(err)
		}
		if err != nil {
			break
		}
		err = c.acquireEngine(ctx, choice, true)
		if err == nil || ctx.Err() != nil {
			return choice, err
		}
		if first.Upstream == nil {
			first = choice
		}
		excluded, maxLoadWait = append(slices.Clip(excluded), choice.Upstream.ID), noLoads
	}
	return first, c.acquireEngine(ctx, first, false)
}

// fullError returns the error for a request for which no engine could be chosen because of err. Where engines have
// just had no free permit, it names no time, so that callers are told different ones.
func (c *call) fullError(err error) error {
	for _, u := range c.gateway.Chooser.Directory.Snapshot().Service(c.service) {
		if c.gateway.Admission.EngineFull(u.ID) {
			return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "no permit: engines have none free: "+err.Error())
		}
	}
	return err
}

// acquireEngine gets a permit for the chosen engine. With noWait the request does not wait for it.
func (c *call) acquireEngine(ctx context.Context, choice Choice, noWait bool) error {
	begun := time.Now()
	defer func() { c.observePermitWait(time.Since(begun)) }()
	r := c.permitRequest(nil)
	r.NoWait = noWait
	c.admission.asked = true
	p, err := c.gateway.Admission.AcquireEngine(ctx, choice.Upstream.ID, r)
	if err != nil {
		return c.permitError(ctx, err)
	}
	c.admission.permit, c.admission.coordinator = p, p.Coordinator
	if ctx.Err() != nil {
		c.releasePermit(snipeadmission.OutcomeUnused)
		return c.permitError(ctx, ctx.Err())
	}
	return nil
}

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
		requestField: c.ID, upstreamField: upstream, "Service": c.service, "MaxRefusals": b.MaxRefusals, "Refusals": refusals,
		"Coordinator": c.admission.coordinator, "PermitMilliseconds": c.admission.waited.Milliseconds(),
	})
}

// noteBrokenUpstream records that an upstream broke its answer or could not be connected to, unless the end of
// ctx may have caused it.
func (c *call) noteBrokenUpstream(ctx context.Context, upstream string) {
	if ctx.Err() == nil {
		c.gateway.Brittle.RecordBroken(c.service, upstream)
	}
}
