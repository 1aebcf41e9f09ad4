package snipecatalog

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"

	"github.com/go-faster/errors"
)

// ErrWorkspace is wrapped by every error about an invalid declaration of a workspace.
var ErrWorkspace = errors.New("workspace")

// KeyDigest is the SHA-256 digest of a caller's key; the key itself is not stored. The length of
// the common prefix of two digests reveals nothing about the keys, so digests need no
// constant-time comparison.
type KeyDigest [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler by hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its errors wrap ErrWorkspace.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Wrapf(ErrWorkspace, "digest of a key with %d digits", len(text))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.Wrapf(ErrWorkspace, "digest of a key: %v", err)
	}
	return nil
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is a customer that owns callers' keys.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority overrides the priority of routes, 0 being the most urgent; nil keeps the route's.
	Priority *int
	Quota    Quota
}

// Quota limits what a workspace may use on all instances together. The zero Quota is no limit.
type Quota struct {
	// PerSecond is the number of units (requests or tokens, see Tokens) that may be used in a
	// second; 0 means no limit. Burst is the number of unused units that can accumulate.
	PerSecond float64
	Burst     float64
	// Tokens reports whether units are tokens of prompts and answers; otherwise they are requests.
	Tokens bool
	// DefaultTokens is the number of tokens charged for a request that does not state its size.
	DefaultTokens int
}

// Limited reports whether q limits a workspace at all.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns the number of units that a request of the given number of tokens is charged;
// stated is false for a request that does not state its size.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case !stated:
		return float64(q.DefaultTokens)
	default:
		return float64(tokens)
	}
}

// Check returns an error that wraps ErrWorkspace and gives the reason if the workspace is
// invalid.
func (w *Workspace) Check() error {
	invalid := func(reason string) error { return errors.Wrapf(ErrWorkspace, "%q: %s", w.Name, reason) }
	switch {
	case w.Name == "":
		return invalid("has no name")
	case !finiteNonNegative(w.Quota.PerSecond) || !finiteNonNegative(w.Quota.Burst):
		return invalid("rate or burst is no number from 0 on")
	case w.Quota.DefaultTokens < 0:
		return invalid("the size of plain requests is negative")
	case slices.Contains(w.Keys, DigestKey("")):
		return invalid("a key is empty")
	}
	return nil
}

func finiteNonNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

// RequiresKeys reports whether requests of routes that are not public need a key: whether any
// workspace is declared.
func (c *Catalog) RequiresKeys() bool { return len(c.Workspaces) > 0 }

// Limited reports whether any workspace has a quota.
func (c *Catalog) Limited() bool { return c.anyLimited }

// Workspace returns the workspace that a key belongs to; nil if there is none.
func (c *Catalog) Workspace(key KeyDigest) *Workspace { return c.workspaceByKey[key] }

// WorkspaceNamed returns the workspace with the given name; nil if there is none.
func (c *Catalog) WorkspaceNamed(name string) *Workspace { return c.workspaceByName[name] }

// indexWorkspaces builds the indexes of workspaces by key and by name. Two workspaces with the
// same key or name cannot be distinguished, so this is an error.
func (c *Catalog) indexWorkspaces() error {
	c.workspaceByKey = make(map[KeyDigest]*Workspace)
	c.workspaceByName = make(map[string]*Workspace, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if err := w.Check(); err != nil {
			return err
		}
		if c.workspaceByName[w.Name] != nil {
			return errors.Wrapf(ErrWorkspace, "%q: is declared twice", w.Name)
		}
		c.workspaceByName[w.Name] = w
		c.anyLimited = c.anyLimited || w.Quota.Limited()
		for _, k := range w.Keys {
			if other := c.workspaceByKey[k]; other != nil && other != w {
				return errors.Wrapf(ErrWorkspace, "%q: has a key of %q", w.Name, other.Name)
			}
			c.workspaceByKey[k] = w
		}
	}
	return nil
}
