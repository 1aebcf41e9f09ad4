// Package snipeslot keeps the adapter slots of one engine, on the engine's
// owner.
//
// Every call at an engine passes through its owner, so the in-flight counts
// here are exact. Invariants: an adapter with a use in flight is never
// evicted; every load has an alias that was never used before, so that a late
// order of an earlier owner can only hit what that owner had given up; one
// load serves all who wait for it.
package snipeslot

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
)

// ErrLoad is returned when the engine could not load the adapter.
var ErrLoad = errors.New("adapter load failed")

type state uint8

const (
	loading state = iota
	resident
	evicting
)

// entry is one slot in use.
type entry struct {
	adapter  snipecall.Adapter
	alias    string
	state    state
	inFlight int
	lastUsed time.Time
	done     chan struct{} // closed when loading ends
	err      error
}

// Slots are the slots of one engine. Exported fields are set before the first
// call of Acquire.
type Slots struct {
	// Engine is the engine's name.
	Engine string
	// Capacity is the number of slots.
	Capacity int
	// Prefix makes aliases unique across owners: it names the ownership.
	Prefix string
	// Load and Unload give the engine its orders.
	Load   func(ctx context.Context, alias, path string) error
	Unload func(ctx context.Context, alias string) error
	// Budget waits for the weight store's permission to load.
	Budget func(ctx context.Context) (func(), error)
	// Timeout bounds one load, with its wait for the budget.
	Timeout time.Duration
	// Log takes the events.
	Log *snipelog.Logger

	lock    sync.Mutex // guards the fields below; never held during an order
	entries map[snipecall.Adapter]*entry
	loads   uint64
	changed chan struct{} // closed and replaced whenever a slot may be free
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
func (s *Slots) Acquire(ctx context.Context, a snipecall.Adapter, path string) (*Use, error) {
	start := time.Now()
	for {
		e, wait := s.find(a, path)
		if wait == nil {
			return &Use{Alias: e.alias, Stalled: time.Since(start), slots: s, entry: e}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait:
		}
		if e != nil && e.err != nil {
			return nil, e.err
		}
	}
}

// find counts a use of a resident adapter, or returns what to wait for. The
// entry is nil when the wait is for a free slot.
func (s *Slots) find(a snipecall.Adapter, path string) (*entry, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.setup()
	e, ok := s.entries[a]
	switch {
	case ok && e.state == resident:
		e.inFlight++
		e.lastUsed = time.Now()
		return e, nil
	case ok && e.state == loading:
		return e, e.done
	case ok:
		return nil, s.changed
	}
	if len(s.entries) >= s.Capacity && !s.evictOne() {
		return nil, s.changed
	}
	if len(s.entries) >= s.Capacity {
		return nil, s.changed
	}
	e = s.begin(a, path)
	return e, e.done
}

func (s *Slots) setup() {
	if s.entries == nil {
		s.entries = map[snipecall.Adapter]*entry{}
		s.changed = make(chan struct{})
	}
}

// begin starts a load. The lock is held.
func (s *Slots) begin(a snipecall.Adapter, path string) *entry {
	s.loads++
	e := &entry{
		adapter: a, state: loading, lastUsed: time.Now(), done: make(chan struct{}),
		alias: a.String() + "#" + s.Prefix + "." + strconv.FormatUint(s.loads, 10),
	}
	s.entries[a] = e
	go s.load(e, path)
	return e
}

// load runs on its own: it outlives the caller that asked first, since others
// may wait for it too.
func (s *Slots) load(e *entry, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	err := s.order(ctx, e, path)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err != nil {
		e.err = errors.Wrapf(ErrLoad, "%s at %s: %v", e.adapter, s.Engine, err)
		delete(s.entries, e.adapter)
		s.Log.Error(snipelog.LoadFailed, e.err, snipelog.Fields{"Engine": s.Engine})
	} else {
		e.state = resident
		s.Log.Log(snipelog.AdapterLoaded, snipelog.Fields{"Engine": s.Engine, "Alias": e.alias})
	}
	close(e.done)
	s.wake()
}

func (s *Slots) order(ctx context.Context, e *entry, path string) error {
	release, err := s.Budget(ctx)
	if err != nil {
		return errors.Wrap(err, "wait for the weight store")
	}
	defer release()
	return s.Load(ctx, e.alias, path)
}

// evictOne starts to evict the least recently used adapter with no use in
// flight and reports whether there was one. The lock is held.
func (s *Slots) evictOne() bool {
	var victim *entry
	for _, e := range s.entries {
		if e.state == evicting {
			return true
		}
		if e.state != resident || e.inFlight > 0 {
			continue
		}
		if victim == nil || e.lastUsed.Before(victim.lastUsed) {
			victim = e
		}
	}
	if victim == nil {
		return false
	}
	victim.state = evicting
	go s.evict(victim)
	return true
}

func (s *Slots) evict(e *entry) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	err := s.Unload(ctx, e.alias)
	s.lock.Lock()
	defer s.lock.Unlock()
	// Even when the order failed the alias is given up: it is never used again.
	delete(s.entries, e.adapter)
	s.wake()
	f := snipelog.Fields{"Engine": s.Engine, "Alias": e.alias}
	if err != nil {
		s.Log.Error(snipelog.AdapterEvicted, err, f)
		return
	}
	s.Log.Log(snipelog.AdapterEvicted, f)
}

// wake lets all who wait for a slot look again. The lock is held.
func (s *Slots) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget drops a resident alias that the engine says it does not have.
func (s *Slots) Forget(alias string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for a, e := range s.entries {
		if e.alias == alias && e.state == resident {
			delete(s.entries, a)
			s.wake()
			return
		}
	}
}

// InFlight returns the number of uses and orders in flight.
func (s *Slots) InFlight() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, e := range s.entries {
		n += e.inFlight
		if e.state != resident {
			n++
		}
	}
	return n
}

// Resident returns the adapters that are resident.
func (s *Slots) Resident() []snipecall.Adapter {
	s.lock.Lock()
	defer s.lock.Unlock()
	var all []snipecall.Adapter
	for a, e := range s.entries {
		if e.state == resident {
			all = append(all, a)
		}
	}
	return all
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
