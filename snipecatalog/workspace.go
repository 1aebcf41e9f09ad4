package snipecatalog

import (
	"crypto/sha256"
	"math"
	"slices"

	"github.com/go-faster/errors"
)

// ErrWorkspace says that a workspace is declared wrongly.
var ErrWorkspace = errors.New("workspace")

// KeyDigest stands for a caller's key, which is itself kept nowhere. How far two digests agree
// tells nothing of the keys, so that they need no comparison in constant time.
type KeyDigest [sha256.Size]byte

// DigestKey returns a key's digest.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is whom callers' keys belong to.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority goes before that of routes, 0 first; nil for the route's.
	Priority *int
	Quota    Quota
}

// Quota bounds what a workspace may use, over all instances together. The zero Quota is none.
type Quota struct {
	// PerSecond is how many units may be used in a second, Burst how many can be saved up.
	PerSecond float64
	Burst     float64
	// Tokens tells that units are tokens of prompts and answers; they are requests otherwise.
	Tokens bool
	// PlainTokens is what a request counts that does not state its size.
	PlainTokens int
}

// Limited reports whether there is a quota.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns how many units a request of so many tokens counts; stated is false for one that
// does not say.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case !stated:
		return float64(q.PlainTokens)
	default:
		return float64(tokens)
	}
}

// Check returns what is wrong with a workspace; its error names the field.
func (w *Workspace) Check() error {
	wrong := func(reason string) error { return errors.Wrapf(ErrWorkspace, "%q: %s", w.Name, reason) }
	switch {
	case w.Name == "":
		return wrong("has no name")
	case !finite(w.Quota.PerSecond) || !finite(w.Quota.Burst):
		return wrong("rate or burst is no number from 0 on")
	case w.Quota.PlainTokens < 0:
		return wrong("the size of plain requests is negative")
	case slices.Contains(w.Keys, DigestKey("")):
		return wrong("a key is empty")
	}
	return nil
}

func finite(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

// Keyed reports whether requests need a key, but for those of public routes.
func (c *Catalog) Keyed() bool { return len(c.Workspaces) > 0 }

// Limited reports whether any workspace has a quota.
func (c *Catalog) Limited() bool { return c.limited }

// Workspace returns the workspace that holds a key; nil when none does.
func (c *Catalog) Workspace(key KeyDigest) *Workspace { return c.keys[key] }

// WorkspaceNamed returns a workspace by its name; nil when there is none.
func (c *Catalog) WorkspaceNamed(name string) *Workspace { return c.names[name] }

// indexWorkspaces prepares the search for keys. Of two workspaces with one key or name neither
// can be told from the other, which is an error.
func (c *Catalog) indexWorkspaces() error {
	c.keys = make(map[KeyDigest]*Workspace)
	c.names = make(map[string]*Workspace, len(c.Workspaces))
	for n := range c.Workspaces {
		w := &c.Workspaces[n]
		if err := w.Check(); err != nil {
			return err
		}
		if c.names[w.Name] != nil {
			return errors.Wrapf(ErrWorkspace, "%q: is declared twice", w.Name)
		}
		c.names[w.Name] = w
		c.limited = c.limited || w.Quota.Limited()
		for _, k := range w.Keys {
			if other := c.keys[k]; other != nil && other != w {
				return errors.Wrapf(ErrWorkspace, "%q: has a key of %q", w.Name, other.Name)
			}
			c.keys[k] = w
		}
	}
	return nil
}
