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

// dice are seeded and safe for concurrent use.
type dice struct {
	lock   sync.Mutex
	random *mathrand.Rand
}

func (d *dice) roll(n int) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.random.Intn(n)
}

// pause is mostly short, sometimes longer than each time that the protocol
// knows. No two are equal, so that their order follows from the seed.
func (d *dice) pause() time.Duration {
	spans := []time.Duration{time.Millisecond, time.Millisecond, 20 * time.Millisecond, 3 * time.Second, 25 * time.Second}
	return spans[d.roll(len(spans))] + time.Duration(d.roll(1000000))*time.Nanosecond
}

// troubled returns a table that is late, loses replies and refuses.
func (d *dice) troubled(table snipeplatform.Table) snipeplatform.Table {
	wait := func(ctx context.Context) bool {
		t := time.NewTimer(d.pause())
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		}
	}
	get := func(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
		if !wait(ctx) || d.roll(8) == 0 {
			return snipeplatform.Row{}, errors.Wrap(snipeplatform.ErrUnavailable, "roll")
		}
		return table.Get(ctx, key)
	}
	write := func(ctx context.Context, operation string, changes []snipeplatform.Change) error {
		if d.roll(8) == 0 {
			return errors.Wrap(snipeplatform.ErrUnavailable, "roll")
		}
		late := context.WithoutCancel(ctx)
		if !wait(ctx) || d.roll(6) == 0 {
			go func() {
				time.Sleep(d.pause())
				_ = table.Write(late, operation, changes)
			}()
			return errors.Wrap(snipeplatform.ErrUnknown, "roll")
		}
		err := table.Write(late, operation, changes)
		if !wait(ctx) {
			return errors.Wrap(snipeplatform.ErrUnknown, "reply lost")
		}
		return err
	}
	return snipeplatform.Table{Get: get, List: table.List, Write: write}
}

// world plays attempts at one key through instances, with trouble everywhere.
type world struct {
	dice  *dice
	table *snipestand.Table

	lock sync.Mutex // guards the fields below
	// ran are the calls whose dispatch had an effect.
	ran []string
	// told are the outcomes that callers were told, by the call.
	told map[string]error
}

func (w *world) dispatch(_ context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	time.Sleep(w.dice.pause())
	if w.dice.roll(3) == 0 {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "roll")
	}
	w.lock.Lock()
	w.ran = append(w.ran, c.ID)
	w.lock.Unlock()
	time.Sleep(w.dice.pause())
	if w.dice.roll(3) == 0 {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "roll")
	}
	return sink(snipecall.Chunk{Sequence: 1, Status: 200, Data: []byte(c.ID), Last: true})
}

func (w *world) attempt(t *testing.T, n int, claims *snipeclaim.Claims) {
	time.Sleep(time.Duration(w.dice.roll(60000)) * time.Millisecond)
	c := newCall("body")
	c.ID = fmt.Sprintf("call-%d", n)
	err := claims.Call(t.Context(), c, func(snipecall.Chunk) error { return nil })
	claims.Wait()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.told[c.ID] = err
}

func (w *world) play(t *testing.T) {
	var wait sync.WaitGroup
	for n := range 8 {
		claims := &snipeclaim.Claims{
			Table: w.dice.troubled(w.table.Client()), Instance: fmt.Sprintf("entry-%d", n%3), Dispatch: w.dispatch,
			Live: func(string) bool { return w.dice.roll(2) == 0 }, Timeout: 10 * time.Second,
			Operation: rand.Text, Log: snipelog.Discard(),
		}
		claims.Serve = func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
			time.Sleep(w.dice.pause())
			return claims.Execute(ctx, c, sink)
		}
		wait.Go(func() { w.attempt(t, n, claims) })
	}
	wait.Wait()
	time.Sleep(time.Minute)
}

// TestRandomInterleavings plays the protocol with late, lost and refused
// steps, pauses and wrong beliefs about who lives. The call runs at most once,
// and whoever was told NotRun did not run it.
func TestRandomInterleavings(t *testing.T) {
	const seeds = 400
	for seed := range int64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			w := &world{
				dice:  &dice{random: mathrand.New(mathrand.NewSource(seed))},
				table: snipestand.NewTable(), told: map[string]error{},
			}
			w.play(t)
			must.LessEq(t, 1, len(w.ran), must.Sprintf("seed %d: ran %v", seed, w.ran))
			for _, id := range w.ran {
				if err := w.told[id]; err != nil {
					must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome, must.Sprintf("seed %d", seed))
				}
			}
		})
	}
}
