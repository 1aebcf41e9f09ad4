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

// Quotas charges requests to the quotas of their workspaces.
type Quotas struct {
	// Take charges a request, and may block until ctx ends. If the quota is used up, it returns
	// false and the time until enough of the quota is expected to be available.
	Take func(ctx context.Context, w *snipecatalog.Workspace, units float64) (wait time.Duration, ok bool)
	// TakeAgain charges a request that runs once more. It neither blocks nor refuses.
	TakeAgain func(w *snipecatalog.Workspace, units float64)
	// Return refunds the charge of a request that was not run.
	Return func(w *snipecatalog.Workspace, units float64)
}

// keyHeader holds the caller's key. Where keys are declared, it is not sent to upstreams.
const keyHeader = "Authorization"

// identifyWorkspace finds the workspace of the request's key. It refuses a request without the key
// of a workspace unless the route is public. If the catalog declares no keys, there is no
// workspace.
func (c *call) identifyWorkspace() error {
	if !c.catalog.RequiresKeys() {
		return nil
	}
	key, ok := snipecall.BearerKey(c.request.Header)
	if ok {
		digest := snipecatalog.DigestKey(key)
		c.key = &digest
		c.workspace = c.catalog.Workspace(digest)
	}
	switch {
	case c.workspace != nil || c.route.Public:
		return nil
	case !ok:
		return c.unknownKey("no key")
	default:
		return c.unknownKey("no workspace has this key")
	}
}

// unknownKey returns the refusal of a request that has no key of a workspace, as far as this instance knows.
func (c *call) unknownKey(reason string) error { return c.orOutdated(c.unauthenticated(reason)) }

// unauthenticated returns the refusal of a request without a valid key.
func (c *call) unauthenticated(reason string) error {
	return snipeerror.New(snipeerror.ErrUnauthenticated, c.outcome(), reason)
}

// orOutdated returns err, the refusal of an unknown route or key, or of a request without a key. If
// this instance may have missed a newer catalog, it instead returns an error that asks the caller to
// retry, because the newer catalog may contain the route or key, or need no key.
func (c *call) orOutdated(err error) error {
	if !c.gateway.Outdated() {
		return err
	}
	return snipeerror.New(snipeerror.ErrUnavailable, c.outcome(), "what operators declare may have changed since it was read").After(startRetryAfter)
}

// hasQuota reports whether the request counts against a quota.
func (c *call) hasQuota() bool { return c.workspace != nil && c.workspace.Quota.Limited() }

// takeQuota charges the request to its workspace's quota, if there is one. If the quota is used up,
// it returns ErrLimited with a retry time.
func (c *call) takeQuota(ctx context.Context) error {
	if !c.hasQuota() {
		return nil
	}
	units := c.workspace.Quota.Cost(c.PromptTokens+c.OutputTokens, c.SizeStated)
	c.cost = units
	wait, ok := c.gateway.Quotas.Take(ctx, c.workspace, units)
	if !ok {
		// The jitter prevents callers that are refused together from returning together.
		wait += time.Duration(c.jitter() * float64(quotaRetryJitter))
		return snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, "the workspace's quota is used up").After(wait)
	}
	c.units = units
	return nil
}

// quotaRetryJitter is the time over which the retries of callers refused by a quota are spread.
const quotaRetryJitter = 200 * time.Millisecond

// takeQuotaAgain charges a request again that is sent to another upstream after one that may have
// run it.
func (c *call) takeQuotaAgain() {
	if c.units > 0 && c.mayHaveRun > 0 {
		c.gateway.Quotas.TakeAgain(c.workspace, c.units)
	}
}

// returnQuota refunds the charge of a request that no upstream has run.
func (c *call) returnQuota() {
	if c.units > 0 && c.mayHaveRun == 0 {
		c.gateway.Quotas.Return(c.workspace, c.units)
		c.units = 0
	}
}

// workspaceName returns the name of the request's workspace; empty if the request has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// priority returns the request's priority at upstreams: that of its workspace, or else of its
// route.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// maxWorkspaceLabels bounds the workspaces with metrics of their own.
const maxWorkspaceLabels = 100

// workspaceLabels holds the labels of the workspaces with metrics of their own. It is safe for
// concurrent use.
type workspaceLabels struct {
	lock sync.Mutex // guards labels
	// labels maps names of workspaces to metric labels.
	labels map[string]string
}

// label returns the quoted metric label of a workspace: its name, or "other" for the workspaces
// after the first maxWorkspaceLabels.
func (l *workspaceLabels) label(workspace string) string {
	l.lock.Lock()
	defer l.lock.Unlock()
	if label, ok := l.labels[workspace]; ok {
		return label
	}
	if len(l.labels) >= maxWorkspaceLabels {
		return `"other"`
	}
	if l.labels == nil {
		l.labels = make(map[string]string)
	}
	label := strconv.Quote(workspace)
	l.labels[workspace] = label
	return label
}

// WorkspaceLabel returns the quoted metric label of a workspace.
func (g *Gateway) WorkspaceLabel(workspace string) string { return g.workspaceLabels.label(workspace) }

// name returns the metric label of a workspace without the quotes.
func (l *workspaceLabels) name(workspace string) string {
	name, err := strconv.Unquote(l.label(workspace))
	if err != nil {
		return "other" // label quotes all names
	}
	return name
}

// countWorkspace counts the end of a request in its workspace's metrics.
func (c *call) countWorkspace(outcome string) {
	if c.workspace == nil {
		return
	}
	g := c.gateway
	label := g.workspaceLabels.label(c.workspace.Name)
	g.Meter.Count("snipepitch_workspace_requests_total{workspace=" + label + `,outcome="` + outcome + `",status="` + strconv.Itoa(c.status) + `"}`)
	g.Meter.Add("snipepitch_workspace_units_total{workspace="+label+"}", int(c.units))
}
