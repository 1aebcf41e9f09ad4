package snipeclaim_test

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeclaim"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
)

// randomSource is seeded and safe for concurrent use.
type randomSource struct {
	lock      sync.Mutex
	generator *mathrand.Rand
}

func (r *randomSource) intn(n int) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.generator.Intn(n)
}

// delay returns a duration that is mostly short and sometimes longer than Timeout and
// claimAge. The random nanoseconds keep the durations distinct, so that the order of
// events follows from the seed.
func (r *randomSource) delay() time.Duration {
	spans := []time.Duration{time.Millisecond, time.Millisecond, 20 * time.Millisecond, 3 * time.Second, 25 * time.Second}
	return spans[r.intn(len(spans))] + time.Duration(r.intn(1000000))*time.Nanosecond
}

// faultyTable returns a table that delays requests, loses replies and refuses requests
// at random.
func (r *randomSource) faultyTable(table snipeplatform.Table) snipeplatform.Table {
	wait := func(ctx context.Context) bool {
		t := time.NewTimer(r.delay())
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		}
	}
	get := func(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
		if !wait(ctx) || r.intn(8) == 0 {
			return snipeplatform.Row{}, errors.Wrap(snipeplatform.ErrUnavailable, "random fault")
		}
		return table.Get(ctx, key)
	}
	write := func(ctx context.Context, operation string, changes []snipeplatform.Change) error {
		if r.intn(8) == 0 {
			return errors.Wrap(snipeplatform.ErrUnavailable, "random fault")
		}
		late := context.WithoutCancel(ctx)
		if !wait(ctx) || r.intn(6) == 0 {
			go func() {
				time.Sleep(r.delay())
				_ = table.Write(late, operation, changes)
			}()
			return errors.Wrap(snipeplatform.ErrUnknown, "random fault")
		}
		err := table.Write(late, operation, changes)
		if !wait(ctx) {
			return errors.Wrap(snipeplatform.ErrUnknown, "reply lost")
		}
		return err
	}
	return snipeplatform.Table{Get: get, List: table.List, Write: write}
}

// simulation runs attempts at one key through several instances with random faults.
type simulation struct {
	random *randomSource
	table  *snipestand.Table

	lock sync.Mutex // guards the fields below
	// executed are the IDs of the calls whose dispatch had an effect.
	executed []string
	// reported are the results that the callers received, by call ID.
	reported map[string]error
}

func (s *simulation) dispatch(_ context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	time.Sleep(s.random.delay())
	if s.random.intn(3) == 0 {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "random fault")
	}
	s.lock.Lock()
	s.executed = append(s.executed, c.ID)
	s.lock.Unlock()
	time.Sleep(s.random.delay())
	if s.random.intn(3) == 0 {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "random fault")
	}
	return sink(snipecall.Chunk{Sequence: 1, Status: 200, Data: []byte(c.ID), Last: true})
}

func (s *simulation) attempt(t *testing.T, n int, claims *snipeclaim.Claims) {
	time.Sleep(time.Duration(s.random.intn(60000)) * time.Millisecond)
	c := newCall("body")
	c.ID = fmt.Sprintf("call-%d", n)
	err := claims.Call(t.Context(), c, func(snipecall.Chunk) error { return nil })
	claims.Wait()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reported[c.ID] = err
}

func (s *simulation) run(t *testing.T) {
	var wait sync.WaitGroup
	for n := range 8 {
		claims := &snipeclaim.Claims{
			Table: s.random.faultyTable(s.table.Client()), Instance: fmt.Sprintf("entry-%d", n%3), Dispatch: s.dispatch,
			IsLive: func(string) bool { return s.random.intn(2) == 0 }, Timeout: 10 * time.Second,
			Operation: rand.Text, Log: snipelog.Discard(),
		}
		claims.Serve = func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
			time.Sleep(s.random.delay())
			return claims.Execute(ctx, c, sink)
		}
		wait.Go(func() { s.attempt(t, n, claims) })
	}
	wait.Wait()
	time.Sleep(time.Minute)
}

// TestRandomInterleavings runs the protocol with delayed, lost and refused steps,
// pauses, and wrong assumptions about which instances are alive. It guards against a
// call that runs more than once and against a call that ran but was reported as NotRun.
func TestRandomInterleavings(t *testing.T) {
	const seeds = 400
	for seed := range int64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{
				random: &randomSource{generator: mathrand.New(mathrand.NewSource(seed))},
				table:  snipestand.NewTable(), reported: map[string]error{},
			}
			s.run(t)
			must.LessEq(t, 1, len(s.executed), must.Sprintf("seed %d: ran %v", seed, s.executed))
			for _, id := range s.executed {
				if err := s.reported[id]; err != nil {
					must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome, must.Sprintf("seed %d", seed))
				}
			}
		})
	}
}
