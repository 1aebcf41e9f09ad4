package snipeslot

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
)

// fakeEngine records orders and checks that no alias is used twice.
type fakeEngine struct {
	t      *testing.T
	lock   sync.Mutex
	loaded map[string]bool
	ever   map[string]bool
	loads  int
}

func (f *fakeEngine) load(_ context.Context, alias, _ string) error {
	time.Sleep(100 * time.Millisecond)
	f.lock.Lock()
	defer f.lock.Unlock()
	must.False(f.t, f.ever[alias], must.Sprintf("alias %s was used before", alias))
	f.loads++
	f.loaded[alias], f.ever[alias] = true, true
	return nil
}

func (f *fakeEngine) unload(_ context.Context, alias string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.loaded, alias)
	return nil
}

func newSlots(t *testing.T, capacity int) (*Slots, *fakeEngine) {
	f := &fakeEngine{t: t, loaded: map[string]bool{}, ever: map[string]bool{}}
	return &Slots{
		Engine: "e1", Capacity: capacity, Prefix: "1", Load: f.load, Unload: f.unload,
		Budget:  func(context.Context) (func(), error) { return func() {}, nil },
		Timeout: time.Minute, Log: snipelog.Discard(),
	}, f
}

func adapter(name string) snipecall.Adapter {
	return snipecall.Adapter{Team: "t", Name: name, Version: "1"}
}

func TestAcquireNeverEvictsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newSlots(t, 1)
		first, err := s.Acquire(t.Context(), adapter("a"), "p")
		must.NoError(t, err)
		second := make(chan *Use)
		go func() {
			u, err := s.Acquire(t.Context(), adapter("b"), "p")
			must.NoError(t, err)
			second <- u
		}()
		time.Sleep(time.Hour)
		must.True(t, f.loaded[first.Alias])
		first.Release()
		u := <-second
		must.False(t, f.loaded[first.Alias])
		u.Release()
	})
}

func TestAcquireOneLoadServesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newSlots(t, 2)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				u, err := s.Acquire(t.Context(), adapter("a"), "p")
				must.NoError(t, err)
				u.Release()
			})
		}
		all.Wait()
		must.Eq(t, 1, f.loads)
	})
}
