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

const fakeLoad = 100 * time.Millisecond

// fault is what happens to one order.
type fault int

const (
	faultNone     fault = iota
	faultLost           // carried out, the reply is lost
	faultVanished       // lost on its way
	faultLate           // its sender is frozen: carried out much later
	faultDelayed        // given up by its sender, carried out much later
	faultFail           // refused for a reason of the engine's own
	faults
)

// fakeEngine is an engine that finds out what may never happen.
type fakeEngine struct {
	lock      sync.Mutex
	capacity  int
	checks    bool // refuses old fencing numbers
	fence     uint64
	loaded    map[string]string // path by alias
	ever      map[string]bool
	calls     map[string]int
	loads     int // orders to load, also those for which there was no slot
	next      func() fault
	late      time.Duration
	violation string
}

func newFakeEngine(capacity int, checks bool) *fakeEngine {
	return &fakeEngine{
		capacity: capacity, checks: checks, loaded: map[string]string{}, ever: map[string]bool{},
		calls: map[string]int{}, next: func() fault { return faultNone }, late: 20 * time.Second,
	}
}

func (f *fakeEngine) violate(what string) {
	if f.violation == "" {
		f.violation = what
	}
}

// order carries out do under the fault that is next.
func (f *fakeEngine) order(fence uint64, do func() error) error {
	f.lock.Lock()
	kind := f.next()
	late := f.late
	f.lock.Unlock()
	switch kind {
	case faultFail:
		return errors.New("internal error")
	case faultVanished:
		return ErrUnclear
	case faultDelayed:
		time.AfterFunc(late, func() { _ = f.carryOut(fence, do) })
		return ErrUnclear
	case faultLate:
		time.Sleep(late)
	}
	err := f.carryOut(fence, do)
	if kind != faultNone {
		return ErrUnclear
	}
	return err
}

func (f *fakeEngine) carryOut(fence uint64, do func() error) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.checks && fence < f.fence {
		return ErrFenced
	}
	f.fence = max(f.fence, fence)
	return do()
}

func (f *fakeEngine) load(fence uint64, alias, path string) error {
	time.Sleep(fakeLoad)
	return f.order(fence, func() error {
		if f.ever[alias] {
			f.violate("alias loaded twice: " + alias)
		}
		f.loads++
		if len(f.loaded) >= f.capacity {
			return ErrRefused
		}
		f.loaded[alias], f.ever[alias] = path, true
		return nil
	})
}

func (f *fakeEngine) unload(fence uint64, alias string) error {
	return f.order(fence, func() error {
		if f.calls[alias] > 0 {
			f.violate("evicted under a call: " + alias)
		}
		delete(f.loaded, alias)
		return nil
	})
}

// begin starts a call and reports false when the alias is not there.
func (f *fakeEngine) begin(alias, path string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	got, ok := f.loaded[alias]
	if !ok {
		return false
	}
	if got != path {
		f.violate("answered by " + got + " for " + path)
	}
	f.calls[alias]++
	return true
}

func (f *fakeEngine) end(alias string) {
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

// fakeOwners makes the slots of successive owners of one engine.
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

// take changes the owner row and returns the new owner's slots.
func (o *fakeOwners) take() *Slots {
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
		Budget: func(context.Context, *snipeweight.Demand) (func(bool), error) {
			return func(bool) {}, nil
		},
		Timeout: time.Minute, Log: snipelog.Discard(),
	}
	if !o.engine.checks {
		r := &Record{
			Table: o.table.Client(), Engine: "e1", Fence: fence, Operation: operation,
			Owner: snipeplatform.Change{Key: row, Expect: fence},
		}
		s.GiveUp, s.Inherit = r.GiveUp, r.Inherit
	}
	return s
}

func adapter(name string) snipecall.Adapter {
	return snipecall.Adapter{Team: "t", Name: name, Version: "1"}
}

func request(name, path string) Request {
	return Request{Adapter: adapter(name), Path: path, Class: snipecall.Standard}
}
