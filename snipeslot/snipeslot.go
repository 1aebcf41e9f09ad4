// Package snipeslot manages the adapter slots of one engine during one
// ownership, on the instance that owns the engine. A slot holds the weights of
// one adapter; a use keeps an adapter in its slot for one call.
//
// All calls to an engine pass through its owner, so the in-flight counts kept
// here are exact for this owner. An order is a request to the engine to load an
// adapter under a name, its alias, or to unload an alias. The aliases that
// earlier owners left at the engine are read before the first load (audit.go):
// an alias that no order of an earlier owner can still unload is adopted, unless
// another alias serves the same adapter and path; all others are evicted. Orders
// are sent in orders.go; capacity.go decides which load gets a slot and which
// adapter is evicted for it. Invariants:
//
//   - An adapter with a use in flight is never evicted. An alias of an earlier
//     owner is evicted only after the engine has reported, later than the
//     takeover, that no call runs or waits under it. If Busy is nil, it is
//     evicted only once PreviousCallTime has passed since the first audit.
//   - Every load has an alias that was never used before.
//   - Before the first order to unload an alias is sent, the alias is committed
//     to the list of retired aliases that later owners read (CommitRetired), unless
//     the engine refuses late orders. A later owner never uses a retired alias,
//     so a late order can only unload an alias that is not in use.
//   - A slot counts as free only once an answer of the engine shows that the
//     alias is not loaded, whatever replies were lost before.
//   - One load serves all callers that wait for it.
//   - No adapter is evicted to free a slot before the weight store's permission
//     for the load that needs the slot has been granted: until then calls can
//     use the adapter.
package snipeslot

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeweight"
)

// Errors of Acquire. All of them mean that no call was sent.
var (
	// ErrLoad means that the adapter was not loaded.
	ErrLoad = errors.New("adapter load failed")
	// ErrEngine means that the first audit of the engine failed.
	ErrEngine = errors.New("engine state unknown")
	// ErrClosed means that the ownership has ended.
	ErrClosed = errors.New("ownership ended")
)

// Errors of Slots.Load and Slots.Unload that are handled specially. Any other
// error means that the order was not carried out.
var (
	// ErrRefused means that the engine refused the order because of its slots.
	ErrRefused = errors.New("order refused")
	// ErrOutcomeUnknown means that the order may have been carried out, or may be later.
	ErrOutcomeUnknown = errors.New("order outcome unknown")
	// ErrFenced means that a later owner has sent orders to the engine.
	ErrFenced = errors.New("a later owner exists")
)

type state uint8

const (
	queued state = iota // waits for permission or a slot
	loading
	resident
	evicting
)

// key identifies loaded weights: an adapter version and the hash of its path.
type key struct {
	adapter snipecall.Adapter
	path    uint64
}

// entry is an adapter whose load is queued, or an alias that occupies a slot
// while it is loading, resident or evicting.
type entry struct {
	key           key
	alias         Alias
	name          string // the alias as text
	state         state
	inFlight      int
	lastUsed      time.Time
	residentSince uint64 // value of Slots.clock when the entry became resident
	// mustEvict is set if the alias must not be used any more. It is evicted as
	// soon as possible, and the eviction cannot be canceled.
	mustEvict bool
	// outcomeUnknown is set if an order for the alias may still be carried out.
	// The alias then stays retired after its eviction.
	outcomeUnknown bool
	// notBefore is the earliest time of the next attempt to evict.
	notBefore time.Time
	demand    *snipeweight.Demand // the calls that wait for the load
	waiters   int
	cancel    context.CancelFunc // cancels the load while it is queued
	done      chan struct{}      // closed when the load ends, also if it fails
	err       error              // result of the load, set before done is closed
}

// Slots manages the slots of one engine during one ownership. Exported fields
// must be set before the first call of a method; Resize changes Capacity later.
type Slots struct {
	// Engine is the engine's name.
	Engine string
	// Capacity is the number of slots.
	Capacity int
	// Fence is the fencing number of the ownership.
	Fence uint64
	// Number returns a number that no other load of this process has; see
	// Alias.Number.
	Number func() uint64
	// Load and Unload send orders to the engine. Unload returns nil for an alias
	// that is not loaded.
	Load   func(ctx context.Context, alias, path string) error
	Unload func(ctx context.Context, alias string) error
	// Aliases returns the aliases that the engine holds, and may return other
	// names, such as that of the base model.
	Aliases func(ctx context.Context) ([]string, error)
	// Busy returns the aliases under which calls run or wait at the engine. It
	// is called after the takeover. Its result may be older than this call of Busy
	// by at most the lease margin. While it fails, no alias of an earlier owner is
	// evicted. If it is nil, these aliases are kept for PreviousCallTime.
	Busy func(ctx context.Context) (map[string]bool, error)
	// CommitRetired commits the list of retired aliases, which later owners must not
	// use. The list replaces the one committed before. It is nil if the engine
	// refuses late orders.
	CommitRetired func(ctx context.Context, aliases []string) error
	// ReadRetired returns the list that was committed last. It is called only if
	// CommitRetired is set, and before it.
	ReadRetired func(ctx context.Context) ([]string, error)
	// AcquirePermission waits for the weight store's permission to load. The returned
	// function is called when the load has ended, and reports whether it failed
	// for another reason than a lack of slots.
	AcquirePermission func(ctx context.Context, d *snipeweight.Demand) (func(failed bool), error)
	// Value returns the value of keeping an adapter; the adapter of lowest value
	// is evicted first. If it is nil, the value is the score of recent uses.
	Value func(a snipecall.Adapter) float64
	// Timeout bounds each load order, each attempt to evict an alias and, except
	// after a refused load, each audit.
	Timeout time.Duration
	// PreviousCallTime is how long calls of an earlier owner may last after the
	// first audit. It is used only if Busy is nil.
	PreviousCallTime time.Duration
	// Log receives the events.
	Log *snipelog.Logger

	retiring sync.Mutex // serializes CommitRetired
	auditing sync.Mutex // serializes audits

	lock         sync.Mutex // guards the fields below; never held during an order
	slots        map[string]*entry
	serving      map[key]*entry // queued, loading and resident entries
	scores       map[key]useScore
	clock        uint64             // incremented when a load ends, so that audits recognize newer entries
	removed      map[string]bool    // aliases removed during an audit, nil otherwise
	retired      map[string]bool    // retired aliases; the value is true once committed
	retiredOrder []string           // keys of retired in the order of insertion
	claims       int                // loads for which claim has returned nil and that have no slot yet
	awaitingSlot int                // loads that have permission and wait for a slot
	opened       time.Time          // when the first audit succeeded; zero before
	opening      *pendingOpen       // the first audit while it is in progress
	closed       bool               // the ownership has ended
	changed      chan struct{}      // closed and replaced whenever a slot may be available
	stop         context.CancelFunc // cancels lifetime
	lifetime     context.Context    //nolint:containedctx // of the orders, which outlive their callers
}

// startLoad starts a load in the background. s.lock is held.
func (s *Slots) startLoad(k key, path string) *entry {
	ctx, cancel := context.WithCancel(s.lifetime)
	e := &entry{
		key: k, state: queued, lastUsed: time.Now(), done: make(chan struct{}), cancel: cancel,
		alias:  Alias{Adapter: k.adapter, Fence: s.Fence, Number: s.Number(), Path: k.path},
		demand: &snipeweight.Demand{Engine: s.Engine, Path: path, Team: k.adapter.Team},
	}
	e.name = e.alias.String()
	s.serving[k] = e
	go s.load(ctx, e, path)
	return e
}

// evict takes an alias out of use and starts its eviction in the background.
// s.lock is held.
func (s *Slots) evict(e *entry) {
	e.state = evicting
	if s.serving[e.key] == e {
		delete(s.serving, e.key)
	}
	go s.runEviction(e)
}

// wake wakes all goroutines that wait for a slot, so that they check again.
// s.lock is held.
func (s *Slots) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget removes the entry of a resident alias that the engine has reported
// missing, and starts an audit in the background to find other missing aliases,
// unless the ownership has ended.
func (s *Slots) Forget(alias string) {
	s.lock.Lock()
	if e, ok := s.slots[alias]; ok && e.state == resident {
		s.remove(e)
	}
	closed := s.closed
	s.lock.Unlock()
	if closed {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.lifetime, s.Timeout)
		defer cancel()
		// If this audit fails, the next call under a missing alias starts another.
		_ = s.audit(ctx)
	}()
}

// remove removes an entry whose alias the engine does not hold. s.lock is held.
func (s *Slots) remove(e *entry) {
	delete(s.slots, e.name)
	if s.serving[e.key] == e {
		delete(s.serving, e.key)
	}
	if s.removed != nil {
		s.removed[e.name] = true
	}
	s.wake()
}

// Resident returns the adapters that calls can use without a load, in no order.
func (s *Slots) Resident() []snipecall.Adapter {
	s.lock.Lock()
	defer s.lock.Unlock()
	var all []snipecall.Adapter
	for k, e := range s.serving {
		if e.state == resident {
			all = append(all, k.adapter)
		}
	}
	return all
}

// Uses calls f for each resident adapter with the number of its uses in flight.
// f must not call a method of s.
func (s *Slots) Uses(f func(a snipecall.Adapter, inFlight int)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for k, e := range s.serving {
		if e.state == resident {
			f(k.adapter, e.inFlight)
		}
	}
}

// Close ends the ownership: orders in progress are canceled and no more are
// sent. Calls of Acquire that wait return the error of the canceled load or
// audit, later calls ErrClosed. Uses in flight continue.
func (s *Slots) Close() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.stop != nil {
		s.stop()
		s.wake()
	}
}
