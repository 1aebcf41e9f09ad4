package snipeslot

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipeweight"
)

// fakeLoadTime is the time that a load takes at a fakeEngine.
const fakeLoadTime = 100 * time.Millisecond

// fault is the way in which one order fails.
type fault int

const (
	faultNone         fault = iota
	faultReplyLost          // the order is carried out, its reply is lost
	faultRequestLost        // the order does not reach the engine
	faultSenderFrozen       // the sender freezes before the order is sent: carried out much later
	faultDelayed            // the sender stops waiting, the order is carried out much later
	faultEngineError        // the engine fails the order with an error
	faultCount
)

// fakeEngine is an engine that detects violations of the invariants: an alias
// that is loaded twice, evicted during a call or used for another path.
type fakeEngine struct {
	lock        sync.Mutex
	capacity    int
	checksFence bool // refuses old fencing numbers
	fence       uint64
	loaded      map[string]string // path by alias
	everLoaded  map[string]bool
	calls       map[string]int
	loads       int // load orders carried out, including those refused for lack of a slot
	nextFault   func() fault
	lateDelay   time.Duration
	violation   string // the first one
}

func newFakeEngine(capacity int, checks bool) *fakeEngine {
	return &fakeEngine{
		capacity: capacity, checksFence: checks, loaded: map[string]string{}, everLoaded: map[string]bool{},
		calls: map[string]int{}, nextFault: func() fault { return faultNone }, lateDelay: 20 * time.Second,
	}
}

func (f *fakeEngine) recordViolation(what string) {
	if f.violation == "" {
		f.violation = what
	}
}

// order applies an order under the next fault.
func (f *fakeEngine) order(fence uint64, do func() error) error {
	f.lock.Lock()
	kind := f.nextFault()
	late := f.lateDelay
	f.lock.Unlock()
	switch kind {
	case faultEngineError:
		return errors.New("internal error")
	case faultRequestLost:
		return ErrOutcomeUnknown
	case faultDelayed:
		time.AfterFunc(late, func() { _ = f.apply(fence, do) })
		return ErrOutcomeUnknown
	case faultSenderFrozen:
		time.Sleep(late)
	}
	err := f.apply(fence, do)
	if kind != faultNone {
		return ErrOutcomeUnknown
	}
	return err
}

func (f *fakeEngine) apply(fence uint64, do func() error) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.checksFence && fence < f.fence {
		return ErrFenced
	}
	f.fence = max(f.fence, fence)
	return do()
}

func (f *fakeEngine) load(fence uint64, alias, path string) error {
	time.Sleep(fakeLoadTime)
	return f.order(fence, func() error {
		if f.everLoaded[alias] {
			f.recordViolation("alias loaded twice: " + alias)
		}
		f.loads++
		if len(f.loaded) >= f.capacity {
			return ErrRefused
		}
		f.loaded[alias], f.everLoaded[alias] = path, true
		return nil
	})
}

func (f *fakeEngine) unload(fence uint64, alias string) error {
	return f.order(fence, func() error {
		if f.calls[alias] > 0 {
			f.recordViolation("evicted under a call: " + alias)
		}
		delete(f.loaded, alias)
		return nil
	})
}

// beginCall starts a call under an alias and reports false if the alias is not
// loaded.
func (f *fakeEngine) beginCall(alias, path string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	got, ok := f.loaded[alias]
	if !ok {
		return false
	}
	if got != path {
		f.recordViolation("answered by " + got + " for " + path)
	}
	f.calls[alias]++
	return true
}

func (f *fakeEngine) endCall(alias string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.calls[alias]--
}

func (f *fakeEngine) restart() {
	f.lock.Lock()
	defer f.lock.Unlock()
	clear(f.loaded)
	clear(f.calls)
	f.fence = 0
}

func (f *fakeEngine) has(alias string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	_, ok := f.loaded[alias]
	return ok
}

func (f *fakeEngine) aliases(context.Context) ([]string, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	names := []string{"base-1"}
	for n := range f.loaded {
		names = append(names, n)
	}
	return names, nil
}

func (f *fakeEngine) busy(context.Context) (map[string]bool, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	all := map[string]bool{}
	for n, c := range f.calls {
		all[n] = c > 0
	}
	return all, nil
}

// fakeOwners creates the Slots of successive owners of one engine.
type fakeOwners struct {
	engine  *fakeEngine
	table   *snipestand.Table
	fence   uint64
	numbers atomic.Uint64
	writes  atomic.Int64
}

func newFakeOwners(f *fakeEngine) *fakeOwners {
	return &fakeOwners{engine: f, table: snipestand.NewTable()}
}

// takeOver writes the owner row with the next fencing number and returns the
// new owner's Slots.
func (o *fakeOwners) takeOver() *Slots {
	row := snipeplatform.Key{Partition: "Owners", Sort: "e1"}
	operation := func() string { return strconv.FormatInt(o.writes.Add(1), 10) }
	change := snipeplatform.Change{Key: row, Expect: o.fence, Data: []byte("{}")}
	if err := o.table.Write(context.Background(), operation(), []snipeplatform.Change{change}); err != nil {
		panic(err)
	}
	o.fence++
	fence := o.fence
	s := &Slots{
		Engine: "e1", Capacity: o.engine.capacity, Fence: fence,
		Number: func() uint64 { return o.numbers.Add(1) },
		Load: func(_ context.Context, alias, path string) error {
			return o.engine.load(fence, alias, path)
		},
		Unload: func(_ context.Context, alias string) error {
			return o.engine.unload(fence, alias)
		},
		Aliases: o.engine.aliases, Busy: o.engine.busy,
		AcquirePermission: func(context.Context, *snipeweight.Demand) (func(bool), error) {
			return func(bool) {}, nil
		},
		Timeout: time.Minute, Log: snipelog.Discard(),
	}
	if !o.engine.checksFence {
		r := &RetiredRecord{
			Table: o.table.Client(), Engine: "e1", Fence: fence, Operation: operation,
			Owner: snipeplatform.Change{Key: row, Expect: fence},
		}
		s.CommitRetired, s.ReadRetired = r.Commit, r.Read
	}
	return s
}

func adapter(name string) snipecall.Adapter {
	return snipecall.Adapter{Team: "t", Name: name, Version: "1"}
}

func request(name, path string) Request {
	return Request{Adapter: adapter(name), Path: path, Class: snipecall.Standard}
}
