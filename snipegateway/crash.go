package snipegateway

import (
	"context"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipequarantine"
)

// Crashes observes which requests crash upstreams. Functions that are nil are not called.
type Crashes struct {
	// Broke is called for an answer that broke off or never began after the request was sent. It does
	// not block, and finds out whether the upstream has ended.
	Broke func(u *snipedirectory.Upstream, f snipequarantine.Fingerprint, request string)
}

// fingerprint returns the fingerprint of the request: a hash of its workspace, method, host, target,
// adapter and body. It is computed at the first call, since few requests need it.
func (c *call) fingerprint() snipequarantine.Fingerprint {
	if c.digest == nil {
		f := snipequarantine.NewFingerprint(c.body,
			c.workspaceName(), c.request.Method, c.request.Host, c.request.RequestURI, c.Adapter.Model, c.Adapter.Name)
		c.digest = &f
	}
	return *c.digest
}

// noteBroken reports that the answer of the last upstream broke off or never began. It reports nothing
// if ctx has ended, because the end of ctx may have caused it.
func (c *call) noteBroken(ctx context.Context) {
	if broke := c.gateway.Crashes.Broke; broke != nil && ctx.Err() == nil {
		broke(c.upstream, c.fingerprint(), c.ID)
	}
}
