package snipegateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeerror"
)

// Quotas counts requests against the quotas of their workspaces.
type Quotas struct {
	// Take counts a request, or returns when there will be room for it.
	Take func(ctx context.Context, w *snipecatalog.Workspace, units float64) (wait time.Duration, ok bool)
	// Again counts one that is run once more.
	Again func(w *snipecatalog.Workspace, units float64)
	// Return gives back what was counted for one that was not run.
	Return func(w *snipecatalog.Workspace, units float64)
}

// keyHeader holds the caller's key. It goes to no upstream where keys are declared.
const keyHeader = "Authorization"

// identify finds the workspace that the request's key belongs to.
func (c *call) identify() error {
	if !c.catalog.Keyed() {
		return nil
	}
	key, ok := snipecall.BearerKey(c.request.Header)
	if ok {
		c.key = snipecatalog.DigestKey(key)
		c.workspace = c.catalog.Workspace(c.key)
	}
	switch {
	case c.workspace != nil || c.route.Public:
		return nil
	case !ok:
		return c.unauthenticated("no key")
	default:
		return c.outdated(c.unauthenticated("no workspace has this key"))
	}
}

// unauthenticated refuses a request for want of a key. Its body is not read.
func (c *call) unauthenticated(reason string) error {
	c.writer.Header().Set("WWW-Authenticate", "Bearer")
	return snipeerror.New(snipeerror.ErrUnauthenticated, c.outcome(), reason)
}

// outdated returns a refusal for what no route or workspace is known for. While this instance may
// have missed a newer catalog nobody can tell whether it is right, and the caller comes back.
func (c *call) outdated(err error) error {
	if !c.gateway.Outdated() {
		return err
	}
	return snipeerror.New(snipeerror.ErrUnavailable, c.outcome(), "what operators declare may have changed since it was read").After(coldRetry)
}

// authorizeAgain looks whether the key still holds before the request goes to an upstream: it may
// have been taken away while the request waited, or since the attempt before.
func (c *call) authorizeAgain() error {
	now := c.gateway.Catalog.Catalog()
	if c.workspace == nil || now == c.catalog {
		return nil
	}
	w := now.Workspace(c.key)
	if w == nil || w.Name != c.workspace.Name {
		return c.unauthenticated("the key was taken away")
	}
	return nil
}

// limited reports whether the request counts against a quota.
func (c *call) limited() bool { return c.workspace != nil && c.workspace.Quota.Limited() }

// count takes what the request needs from its workspace's quota.
func (c *call) count(ctx context.Context) error {
	if !c.limited() {
		return nil
	}
	units := c.workspace.Quota.Cost(c.PromptTokens+c.OutputTokens, c.Sized)
	c.asked = units
	wait, ok := c.gateway.Quotas.Take(ctx, c.workspace, units)
	if !ok {
		// Those refused together do not return together.
		wait += time.Duration(c.spread() * float64(spreadReturn))
		return snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, "the workspace's quota is used up").After(wait)
	}
	c.units = units
	return nil
}

// spreadReturn is the time over which callers return that were refused for a quota.
const spreadReturn = 200 * time.Millisecond

// countAgain counts a request that goes to another upstream after one that may have run it.
func (c *call) countAgain() {
	if c.units > 0 && c.ran > 0 {
		c.gateway.Quotas.Again(c.workspace, c.units)
	}
}

// uncount gives back what was counted for a request that no upstream has run.
func (c *call) uncount() {
	if c.units > 0 && c.ran == 0 {
		c.gateway.Quotas.Return(c.workspace, c.units)
		c.units = 0
	}
}

// workspaceName names whom the key belongs to; empty where no key was needed.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// priority ranks the request at upstreams.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// mostCounted bounds the workspaces that have counters of their own.
const mostCounted = 100

// counted are the workspaces that have counters of their own. It is safe for concurrent use.
type counted struct {
	lock sync.Mutex // guards names
	// names are the workspaces' names as labels.
	names map[string]string
}

// label returns the label of a workspace's counters.
func (c *counted) label(workspace string) string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if label, ok := c.names[workspace]; ok {
		return label
	}
	if len(c.names) >= mostCounted {
		return `"other"`
	}
	if c.names == nil {
		c.names = make(map[string]string)
	}
	label := strconv.Quote(workspace)
	c.names[workspace] = label
	return label
}

// countWorkspace counts the end of a request for its workspace.
func (c *call) countWorkspace(outcome string) {
	if c.workspace == nil {
		return
	}
	g := c.gateway
	label := g.counted.label(c.workspace.Name)
	g.Meter.Count("snipepitch_workspace_requests_total{workspace=" + label + `,outcome="` + outcome + `",status="` + strconv.Itoa(c.status) + `"}`)
	g.Meter.Add("snipepitch_workspace_units_total{workspace="+label+"}", int(c.units))
}
