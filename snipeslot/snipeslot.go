// Package snipeslot keeps the adapter slots of one engine during one
// ownership, on the engine's owner.
//
// Design. Every call at an engine passes through its owner, so the in-flight
// counts here are exact for this owner. What earlier owners left behind is
// read from the engine before the first load (audit.go): an alias that no
// order of theirs can still hit is adopted, all others are given up. Orders
// are carried out in orders.go. Invariants:
//
//   - An adapter with a use in flight is never evicted. An alias of an earlier
//     owner is evicted only after the engine has said, later than the takeover,
//     that no call runs or waits under it.
//   - Every load has an alias that was never used before.
//   - Before the first order to unload an alias, the intent is committed where
//     successors find it (GiveUp), or the engine refuses late orders. A
//     successor never uses an alias that was given up, so a late order hits
//     only what nobody uses.
//   - A slot counts as free only once the engine has confirmed that the alias
//     is not there, whatever happened to the replies before.
//   - One load serves all who wait for it.
//   - Nothing is evicted before the weight store's permission for the load that
//     needs the slot is there: until then the victim serves on.
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
	// ErrLoad: the engine could not load the adapter.
	ErrLoad = errors.New("adapter load failed")
	// ErrEngine: the engine's state could not be read.
	ErrEngine = errors.New("engine state unknown")
	// ErrClosed: the ownership has ended.
	ErrClosed = errors.New("ownership ended")
)

// Results of orders that the decisions tell apart. The functions Load and
// Unload wrap them; any other error means that the order was not carried out.
var (
	// ErrRefused: the engine refused the order because of its slots.
	ErrRefused = errors.New("order refused")
	// ErrUnclear: the order may have been carried out, or may be later.
	ErrUnclear = errors.New("order outcome unknown")
	// ErrFenced: a later owner has given orders.
	ErrFenced = errors.New("a later owner exists")
)

type state uint8

const (
	queued state = iota // waits for permission, has no slot
	loading
	resident
	evicting
)

// key is what an alias holds: a version, loaded from one path.
type key struct {
	adapter snipecall.Adapter
	path    uint64
}

// entry is an adapter that waits for a load, or one slot in use.
type entry struct {
	key      key
	alias    Alias
	name     string // the alias as text
	state    state
	inFlight int
	lastUsed time.Time
	since    uint64 // the audit clock when the entry became resident
	// condemned entries are never used: they are evicted as soon as possible.
	condemned bool
	// unclear tells that an order for the alias may still be on its way.
	unclear bool
	// notBefore is when the next try to evict is worthwhile.
	notBefore time.Time
	demand    *snipeweight.Demand // what waits for the load
	waiters   int
	cancel    context.CancelFunc // ends the wait for permission
	done      chan struct{}      // closed when loading ends
	err       error
}

// Request asks for an adapter.
type Request struct {
	// Adapter is the adapter and Path where its weights are.
	Adapter snipecall.Adapter
	Path    string
	// Class is the class of the call that needs it.
	Class snipecall.Class
}

// LateError tells that the adapter cannot be there before the call's deadline.
type LateError struct {
	// After is when it is expected to be there.
	After time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	return "adapter is expected in " + e.After.Round(time.Millisecond).String() + ", after the deadline"
}

// Slots are the slots of one engine during one ownership. Exported fields are
// set before the first call of Acquire.
type Slots struct {
	// Engine is the engine's name.
	Engine string
	// Capacity is the number of slots.
	Capacity int
	// Fence is the fencing number of the ownership.
	Fence uint64
	// Number returns a number that no other load of this process has.
	Number func() uint64
	// Load and Unload give the engine its orders. Unload of an alias that is
	// not there is no error.
	Load   func(ctx context.Context, alias, path string) error
	Unload func(ctx context.Context, alias string) error
	// Aliases returns what the engine holds.
	Aliases func(ctx context.Context) ([]string, error)
	// Busy returns the aliases under which the engine has calls. It is read
	// after the takeover, at most the lease margin late. Nil when the engine
	// does not tell: aliases of earlier owners then stay for Settle.
	Busy func(ctx context.Context) (map[string]bool, error)
	// GiveUp commits the list of aliases that successors must not use; nil
	// when the engine refuses late orders.
	GiveUp func(ctx context.Context, aliases []string) error
	// Inherit returns the list that the last owner has committed.
	Inherit func(ctx context.Context) ([]string, error)
	// Budget waits for the weight store's permission to load. The function
	// that it returns ends the load.
	Budget func(ctx context.Context, d *snipeweight.Demand) (func(failed bool), error)
	// Worth says what keeping an adapter is worth; the one of least worth is
	// evicted first. Nil is the worth of its recent uses.
	Worth func(a snipecall.Adapter) float64
	// Timeout bounds each order.
	Timeout time.Duration
	// Settle is how long calls of an earlier owner may last.
	Settle time.Duration
	// Log takes the events.
	Log *snipelog.Logger

	giving   sync.Mutex // serializes GiveUp
	auditing sync.Mutex // serializes audits

	lock     sync.Mutex // guards the fields below; never held during an order
	slots    map[string]*entry
	serving  map[key]*entry // queued, loading and resident entries
	heats    map[key]heat
	clock    uint64             // grows with each change that an audit must notice
	removed  map[string]bool    // aliases removed during an audit, nil otherwise
	given    map[string]bool    // given up: true once committed
	order    []string           // given in the order of insertion
	claims   int                // loads that have or seek permission and need a slot
	seeking  int                // loads that have permission and wait for their slot
	opened   time.Time          // when the ownership's first audit ended
	opening  *attempt           // the audit in progress
	closed   bool               // no more orders
	changed  chan struct{}      // closed and replaced whenever a slot may be free
	stop     context.CancelFunc // ends the orders in progress
	lifetime context.Context    //nolint:containedctx // of the orders, which outlive their callers
}

// Use is the right to call a resident adapter. Release must be called once.
type Use struct {
	// Alias is the adapter's name at the engine.
	Alias string
	// Stalled is how long the caller waited for the load.
	Stalled time.Duration
	slots   *Slots
	entry   *entry
}

// Acquire waits until the adapter is resident and counts a use of it.
func (s *Slots) Acquire(ctx context.Context, r Request) (*Use, error) {
	start := time.Now()
	if err := s.Open(ctx); err != nil {
		return nil, err
	}
	k := key{r.Adapter, HashPath(r.Path)}
	s.warm(k)
	for {
		e, wait := s.find(k, r)
		switch {
		case e == nil:
			return nil, errors.Wrap(ErrClosed, s.Engine)
		case wait == nil:
			return &Use{Alias: e.name, Stalled: time.Since(start), slots: s, entry: e}, nil
		}
		err := e.await(ctx)
		s.leave(e, r.Class)
		if err == nil && !errors.Is(e.err, ErrRefused) {
			err = e.err
		}
		if err != nil {
			return nil, err
		}
	}
}

// await waits for the end of a load, unless the load is expected to end after
// the deadline.
func (e *entry) await(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	for {
		ready, changed := e.demand.Expected()
		if bounded && ready.After(deadline) {
			return &LateError{After: time.Until(ready)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.done:
			return nil
		case <-changed:
		}
	}
}

// find counts a use of a resident adapter, or counts a waiter for its load and
// returns what to wait for. The entry is nil when the ownership has ended.
func (s *Slots) find(k key, r Request) (*entry, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return nil, nil
	}
	e, ok := s.serving[k]
	if ok && e.state == resident {
		e.inFlight++
		e.lastUsed = time.Now()
		return e, nil
	}
	if !ok {
		e = s.begin(k, r.Path)
	}
	e.waiters++
	e.demand.Join(r.Class)
	return e, e.done
}

// leave ends a wait. A load that has no permission yet and for which nobody
// waits any more is given up.
func (s *Slots) leave(e *entry, c snipecall.Class) {
	s.lock.Lock()
	defer s.lock.Unlock()
	e.demand.Leave(c)
	e.waiters--
	if e.waiters == 0 && e.state == queued {
		e.cancel()
		if s.serving[e.key] == e {
			delete(s.serving, e.key)
		}
	}
}

// begin starts a load. The lock is held.
func (s *Slots) begin(k key, path string) *entry {
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

// evict takes a resident adapter out of use. The lock is held.
func (s *Slots) evict(e *entry) {
	e.state = evicting
	if s.serving[e.key] == e {
		delete(s.serving, e.key)
	}
	go s.drop(e)
}

// wake lets all who wait for a slot look again. The lock is held.
func (s *Slots) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget drops a resident alias that the engine says it does not have, and
// looks in the background what else is gone.
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
		// The next call notices what this audit could not.
		_ = s.audit(ctx)
	}()
}

// remove forgets an entry whose alias is not at the engine. The lock is held.
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

// Resident returns the adapters that are resident.
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

// Uses calls f for each resident adapter with its uses in flight.
func (s *Slots) Uses(f func(a snipecall.Adapter, inFlight int)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for k, e := range s.serving {
		if e.state == resident {
			f(k.adapter, e.inFlight)
		}
	}
}

// Close ends the ownership: no order is given any more, and those who wait get
// ErrClosed. Uses in flight go on.
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

// Release ends the use.
func (u *Use) Release() {
	u.slots.lock.Lock()
	defer u.slots.lock.Unlock()
	u.entry.inFlight--
	u.entry.lastUsed = time.Now()
	if u.entry.inFlight == 0 {
		u.slots.wake()
	}
}
