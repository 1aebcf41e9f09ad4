package snipelimit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// The storm: one team sends 500 calls a second for 30 s to an upstream that
// answers 32 a second; five others send 3 a second each.
const (
	stormBatch  = 32
	stormRate   = 500
	stormLength = 30 * time.Second
	quietTeams  = 5
	quietRate   = 3
	stormCall   = time.Second
	stormLeft   = 10 * time.Second
)

type enter func(ctx context.Context, c *snipecall.Call) (func(error), error)

// line admits in the order of arrival, with the same bound: what fairness is
// compared with.
func line() enter {
	room := make(chan struct{}, stormBatch)
	var lock sync.Mutex
	waiting := 0
	return func(ctx context.Context, c *snipecall.Call) (func(error), error) {
		lock.Lock()
		if waiting >= queueFactor*stormBatch+queueSpare {
			lock.Unlock()
			return nil, limited(c, "full", time.Second)
		}
		waiting++
		lock.Unlock()
		defer func() {
			lock.Lock()
			waiting--
			lock.Unlock()
		}()
		select {
		case room <- struct{}{}:
			return func(error) { <-room }, nil
		case <-ctx.Done():
			return nil, snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "waiting")
		}
	}
}

type stormResult struct {
	served, refused map[string]int
	waits           []time.Duration // of the quiet teams' calls
}

func storm(t *testing.T, open func() enter) stormResult {
	r := stormResult{served: map[string]int{}, refused: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		e := open()
		var lock sync.Mutex
		var all sync.WaitGroup
		send := func(name string, class snipecall.Class, number int) {
			start := time.Now()
			c := newCall(name, class, stormLeft)
			ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
			defer cancel()
			done, err := e(ctx, c)
			lock.Lock()
			if err != nil {
				r.refused[name]++
				lock.Unlock()
				return
			}
			r.served[name]++
			if name != "storm" {
				r.waits = append(r.waits, time.Since(start))
			}
			lock.Unlock()
			time.Sleep(stormCall + time.Duration(number)*time.Microsecond)
			done(nil)
		}
		source := func(name string, class snipecall.Class, rate, first int) {
			all.Go(func() {
				for n := range int(stormLength/time.Second) * rate {
					time.Sleep(time.Second/time.Duration(rate) + time.Duration(first)*time.Nanosecond)
					all.Go(func() { send(name, class, n+first) })
				}
			})
		}
		source("storm", snipecall.Standard, stormRate, 0)
		for n := range quietTeams {
			source(fmt.Sprintf("quiet %d", n), snipecall.Standard, quietRate, 101*(n+1))
		}
		all.Wait()
		slices.Sort(r.waits)
	})
	return r
}

func (r stormResult) quiet() (served, refused int) {
	for n := range quietTeams {
		served += r.served[fmt.Sprintf("quiet %d", n)]
		refused += r.refused[fmt.Sprintf("quiet %d", n)]
	}
	return served, refused
}

func (r stormResult) wait(percent int) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[(len(r.waits)-1)*percent/100].Round(time.Millisecond)
}

// TestMeasureStorm: what a storm of one team does to the others.
func TestMeasureStorm(t *testing.T) {
	first := storm(t, line)
	fair := storm(t, func() enter { return NewQueue(stormBatch).Enter })
	t.Log("Table: one team sends 500 calls/s for 30 s to an upstream that does 32/s; five others send 3/s each (450 calls)")
	t.Log("| queue | quiet teams: served | refused | wait, median | wait, 99th percentile | storm: served |")
	t.Log("|---|---|---|---|---|---|")
	for n, r := range []stormResult{first, fair} {
		served, refused := r.quiet()
		t.Logf("| %s | %d | %d | %v | %v | %d |", []string{"in order of arrival", "fair"}[n],
			served, refused, r.wait(50), r.wait(99), r.served["storm"])
	}
	served, refusedCalls := fair.quiet()
	must.Eq(t, quietTeams*quietRate*int(stormLength/time.Second), served)
	must.Eq(t, 0, refusedCalls)
	must.Less(t, stormCall, fair.wait(99), must.Sprint("a place gets free within one call"))
	must.Greater(t, 300, fair.served["storm"], must.Sprint("the storm gets what the others leave"))
}
