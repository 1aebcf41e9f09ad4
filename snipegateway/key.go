package snipegateway

import (
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeerror"
)

// keyVerdict is what a catalog says of the key of a request that was admitted for a workspace.
type keyVerdict uint8

const (
	// keyValid: the key belongs to the workspace.
	keyValid keyVerdict = iota
	// keyUnneeded: the key belongs to no workspace, and the request needs none.
	keyUnneeded
	// keyMoved: the key may belong to another workspace.
	keyMoved
	// keyGone: the key belongs to no workspace.
	keyGone
)

// judgeKey returns what a catalog says of the request's key, which belonged to the named workspace when the request was admitted.
func (c *call) judgeKey(catalog *snipecatalog.Catalog, workspace string) keyVerdict {
	owner := c.ownerOfKey(catalog, workspace)
	switch {
	case owner != nil && owner.Name == workspace:
		return keyValid
	case owner != nil:
		return keyMoved
	case c.needsNoKey(catalog):
		return keyUnneeded
	case c.key == nil:
		return keyMoved
	default:
		return keyGone
	}
}

// ownerOfKey returns the workspace of the request's key in a catalog; nil if there is none. A peer of an earlier release does not
// tell the key, but the name of the workspace that had it.
func (c *call) ownerOfKey(catalog *snipecatalog.Catalog, workspace string) *snipecatalog.Workspace {
	if c.key == nil {
		return catalog.WorkspaceNamed(workspace)
	}
	return catalog.Workspace(*c.key)
}

// needsNoKey reports whether the request needs no key by a catalog, or needed none when it was admitted.
func (c *call) needsNoKey(catalog *snipecatalog.Catalog) bool {
	if c.route.Public || !catalog.RequiresKeys() {
		return true
	}
	route := c.findRoute(catalog)
	return route != nil && route.Public
}

// recheckKey returns an error if the request may no longer run for its workspace. It is called before each attempt, because
// the catalog may have changed while the request waited or since the previous attempt.
func (c *call) recheckKey() error {
	now := c.gateway.Catalog.Catalog()
	if c.workspace == nil || now == c.catalog {
		return nil
	}
	c.checkedVersion = now.Version
	switch c.judgeKey(now, c.workspace.Name) {
	case keyValid:
		return nil
	case keyUnneeded:
		c.leaveWorkspace()
		return nil
	case keyGone:
		return c.unknownKey("the key was taken away")
	default:
		return c.keyChangedError()
	}
}

// leaveWorkspace has a request that needs no key, and whose key was taken away, go on without a workspace.
func (c *call) leaveWorkspace() {
	c.returnQuota()
	c.workspace, c.units = nil, 0
}

// judgeDenial returns the error for a request that a peer has denied because of its key. It is passed on only if this instance
// comes to the same conclusion: a peer of an earlier release compares no keys.
func (c *call) judgeDenial() error {
	if c.workspace != nil && c.judgeKey(c.gateway.Catalog.Catalog(), c.workspace.Name) == keyGone {
		return c.unknownKey("the key was taken away")
	}
	return c.keyChangedError()
}

// keyChangedError returns the error for a request whose key may no longer belong to the workspace for which it was admitted. The
// caller may send it again, for the one that has the key now.
func (c *call) keyChangedError() error {
	return snipeerror.New(snipeerror.ErrUnavailable, c.outcome(), "the workspace of the key has changed").After(startRetryAfter)
}
