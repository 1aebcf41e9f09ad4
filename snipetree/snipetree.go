// Package snipetree implements the settings tree: one platform branch, which the platform's
// operators edit, and one branch for each team (a customer).
//
// A Tree is an immutable snapshot of one revision; it is built once, checked as a whole,
// passed on and never changed. Revisions only increase: a Store never replaces its snapshot
// by one of a lower revision, whatever the source. A branch is accepted whole or not at all:
// its document is first stored under its hash (document.go), then one transaction writes the
// head row, the revision row and the history (edit.go). Documents never change, so a stale
// read can only return an old head, which is not put in force. Instances that cannot read
// the table fetch the head and the documents from each other (peers.go). An instance admits
// calls only while its revision was confirmed within FreshFor (store.go).
package snipetree

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipejson"
)

// Upper limits of settings.
const (
	maxSlots      = 1024
	maxConcurrent = 100000
	maxRate       = 1e6
)

// Errors of the checks of settings and keys.
var (
	ErrInvalid = errors.New("invalid settings")
	ErrBadKey  = errors.New("key hash is not 64 hexadecimal digits")
)

// KeyHash is the SHA-256 hash of a key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (k KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(k[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != 2*len(k) {
		return ErrBadKey
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return ErrBadKey
	}
	return nil
}

// Platform is the document of the platform's branch, which the platform's operators edit.
type Platform struct {
	// Engines are the model engines by name.
	Engines map[string]Engine
	// Services are the plain services by name.
	Services map[string]Service
	// WeightStore limits the loads of adapters from the weight store.
	WeightStore WeightStore
	// Operators are the operators who may edit settings, by name.
	Operators map[string]Operator
	// Limits are the limits of each team, by the team's name.
	Limits map[string]Limit `json:",omitempty"`
}

// Engine is one model engine.
type Engine struct {
	// Address is the address at which the engine accepts requests.
	Address netip.AddrPort
	// Domain is the engine's failure domain.
	Domain string
	// Base is the base model that the engine has loaded.
	Base string
	// Slots is the number of adapters that the engine can hold at once.
	Slots int
	// Batch is the number of calls that the engine executes at once.
	Batch int
	// ChecksFence reports whether the engine refuses an order with an outdated fencing
	// number.
	ChecksFence bool `json:",omitempty"`
	// Leaving means that the engine gets no new work.
	Leaving bool `json:",omitempty"`
}

// Service is one plain service.
type Service struct {
	// Upstreams are the service's upstreams by name.
	Upstreams map[string]ServiceUpstream
}

// ServiceUpstream is one upstream of a plain service.
type ServiceUpstream struct {
	Address netip.AddrPort
	Domain  string
	// Leaving means that the upstream gets no new work.
	Leaving bool `json:",omitempty"`
}

// WeightStore is the budget of loads from the weight store, which all instances share.
type WeightStore struct {
	// LoadsPerSecond is the number of loads that may start in a second.
	LoadsPerSecond float64
	// Concurrent is the number of loads that can run at full speed at once.
	Concurrent int
}

// Operator is an operator's key and the branches that the operator may edit.
type Operator struct {
	KeyHash KeyHash
	// Platform permits edits of the platform's branch and of every team's branch.
	Platform bool `json:",omitempty"`
	// Teams are the teams whose branches the operator may edit.
	Teams []string `json:",omitempty"`
}

// Limit bounds the calls of a team in the whole deployment.
type Limit struct {
	// Concurrent is the number of calls that may be in flight; zero means no limit.
	Concurrent int `json:",omitempty"`
	// PerSecond is the number of calls that may start in a second; zero means no limit.
	PerSecond float64 `json:",omitempty"`
	// Classes holds additional limits for single classes.
	Classes map[snipecall.Class]ClassLimit `json:",omitempty"`
}

// ClassLimit bounds the calls of one class of a team.
type ClassLimit struct {
	// Concurrent and PerSecond have the same meaning as in Limit.
	Concurrent int     `json:",omitempty"`
	PerSecond  float64 `json:",omitempty"`
}

func (l Limit) check(field string) error {
	bounds := map[string]ClassLimit{field: {Concurrent: l.Concurrent, PerSecond: l.PerSecond}}
	for c, b := range l.Classes {
		bounds[field+".Classes."+c.String()] = b
	}
	for _, name := range sortedNames(bounds) {
		b := bounds[name]
		if b.Concurrent < 0 || b.PerSecond < 0 {
			return invalid(name, "must not be negative")
		}
		if b.Concurrent > maxConcurrent || b.PerSecond > maxRate {
			return invalid(name, "must be at most 100000 calls and 1000000 a second")
		}
	}
	return nil
}

// Branch is the document of one team's branch.
type Branch struct {
	// Keys are the hashes of the callers' keys, by the key's name.
	Keys map[string]KeyHash
	// Adapters are the team's adapters by name.
	Adapters map[string]Adapter
	// Services are the plain services that the team may call.
	Services []string `json:",omitempty"`
	// Classes are the team's settings for each class.
	Classes map[snipecall.Class]ClassSettings `json:",omitempty"`
}

// Adapter is one adapter with its versions.
type Adapter struct {
	// Base is the base model that the adapter was trained on.
	Base string
	// Versions are the versions by name.
	Versions map[string]Version
}

// Version is one version of an adapter.
type Version struct {
	// Path is the location of the version's weights in the weight store.
	Path string
}

// ClassSettings are a team's settings for one class.
type ClassSettings struct {
	// Deadline is the deadline of calls that state none.
	Deadline snipejson.Duration
}

// Tree is an immutable snapshot of all settings at one revision.
type Tree struct {
	// Revision is the tree's revision; each accepted edit increases it by one.
	Revision uint64
	Platform *Platform
	// Teams are the branches by the team's name.
	Teams map[string]*Branch
	// Undecodable holds the names of the branches whose stored document this instance
	// cannot decode; their previous settings stay in force, and a team's branch without
	// previous settings is absent from Teams.
	Undecodable []string
	teamByKey   map[KeyHash]string
}

// NewTree returns the snapshot of the given branches.
func NewTree(revision uint64, platform *Platform, teams map[string]*Branch) *Tree {
	t := &Tree{Revision: revision, Platform: platform, Teams: teams, teamByKey: map[KeyHash]string{}}
	for name, b := range teams {
		for _, k := range b.Keys {
			t.teamByKey[k] = name
		}
	}
	return t
}

// TeamOf returns the team that a caller's key belongs to, and whether there is one.
func (t *Tree) TeamOf(key string) (string, bool) {
	team, ok := t.teamByKey[HashKey(key)]
	return team, ok
}

// Find returns the base model and the weight store path of an adapter's version, and whether
// the version is declared.
func (t *Tree) Find(a snipecall.Adapter) (base, path string, ok bool) {
	b, ok := t.Teams[a.Team]
	if !ok {
		return "", "", false
	}
	s, ok := b.Adapters[a.Name]
	if !ok {
		return "", "", false
	}
	v, ok := s.Versions[a.Version]
	return s.Base, v.Path, ok
}

// Deadline returns the team's deadline for calls of a class that state none, or fallback if the
// team is unknown or has not set one.
func (t *Tree) Deadline(team string, c snipecall.Class, fallback time.Duration) time.Duration {
	b, ok := t.Teams[team]
	if !ok {
		return fallback
	}
	s, ok := b.Classes[c]
	if !ok || s.Deadline <= 0 {
		return fallback
	}
	return s.Deadline.Value()
}

// Check returns an error that wraps ErrInvalid and names the first bad field.
func (p *Platform) Check() error {
	for _, name := range sortedNames(p.Engines) {
		if err := p.Engines[name].check("Engines." + name); err != nil {
			return err
		}
	}
	for _, name := range sortedNames(p.Services) {
		if err := p.Services[name].check("Services." + name); err != nil {
			return err
		}
	}
	if p.WeightStore.LoadsPerSecond <= 0 || p.WeightStore.LoadsPerSecond > maxRate {
		return invalid("WeightStore.LoadsPerSecond", "must be above 0 and at most 1000000")
	}
	if p.WeightStore.Concurrent < 1 || p.WeightStore.Concurrent > maxConcurrent {
		return invalid("WeightStore.Concurrent", "must be from 1 to 100000")
	}
	for _, name := range sortedNames(p.Limits) {
		if err := p.Limits[name].check("Limits." + name); err != nil {
			return err
		}
	}
	return nil
}

func (e Engine) check(field string) error {
	if !e.Address.IsValid() {
		return invalid(field+".Address", "missing")
	}
	if e.Base == "" {
		return invalid(field+".Base", "missing")
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		return invalid(field+".Slots", "must be from 1 to 1024")
	}
	if e.Batch < 1 || e.Batch > maxConcurrent {
		return invalid(field+".Batch", "must be from 1 to 100000")
	}
	return nil
}

func (s Service) check(field string) error {
	if len(s.Upstreams) == 0 {
		return invalid(field+".Upstreams", "must name at least one upstream")
	}
	for name, u := range s.Upstreams {
		if !u.Address.IsValid() {
			return invalid(field+".Upstreams."+name+".Address", "missing")
		}
	}
	return nil
}

// Check returns an error that wraps ErrInvalid and names the first bad field.
func (b *Branch) Check() error {
	for _, name := range sortedNames(b.Adapters) {
		if err := b.Adapters[name].check(name); err != nil {
			return err
		}
	}
	for _, s := range b.Services {
		if err := snipecall.CheckName(s); err != nil {
			return invalid("Services", err.Error())
		}
	}
	for c, s := range b.Classes {
		if s.Deadline < 0 {
			return invalid("Classes."+c.String()+".Deadline", "must not be negative")
		}
	}
	return nil
}

func (a Adapter) check(name string) error {
	field := "Adapters." + name
	if err := snipecall.CheckName(name); err != nil {
		return invalid(field, err.Error())
	}
	if a.Base == "" {
		return invalid(field+".Base", "missing")
	}
	for version, v := range a.Versions {
		if err := snipecall.CheckName(version); err != nil {
			return invalid(field+".Versions", err.Error())
		}
		if v.Path == "" {
			return invalid(field+".Versions."+version+".Path", "missing")
		}
	}
	return nil
}

func invalid(field, reason string) error {
	return errors.Wrapf(ErrInvalid, "%s: %s", field, reason)
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
