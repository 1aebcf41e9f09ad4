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

// The load of the simulation: the noisy team sends 500 calls per second for 30 s
// to an upstream that answers 32 per second; five light teams send 3 per second
// each.
const (
	noisyBatch  = 32
	noisyRate   = 500
	noisyLength = 30 * time.Second
	lightTeams  = 5
	lightRate   = 3
	callTime    = time.Second
	callTimeout = 10 * time.Second
)

// enter admits a call, as Queue.Enter does.
type enter func(ctx context.Context, c *snipecall.Call) (func(error), error)

// fifo returns an enter function that admits calls in the order of arrival. At most
// noisyBatch calls run, and as many wait as in a Queue with this limit. It is the
// baseline for the fair queue.
func fifo() enter {
	slots := make(chan struct{}, noisyBatch)
	var lock sync.Mutex
	waiting := 0
	return func(ctx context.Context, c *snipecall.Call) (func(error), error) {
		lock.Lock()
		if waiting >= queueFactor*noisyBatch+queueExtra {
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
		case slots <- struct{}{}:
			return func(error) { <-slots }, nil
		case <-ctx.Done():
			return nil, snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "waiting")
		}
	}
}

// noisyResult holds the numbers of served and refused calls by team, and the
// waiting times, in increasing order, of the light teams' served calls. A call whose
// deadline passes while it waits counts as refused.
type noisyResult struct {
	served, refused map[string]int
	waits           []time.Duration
}

// simulate sends the load through the queue that open returns, on a simulated
// clock.
func simulate(t *testing.T, open func() enter) noisyResult {
	r := noisyResult{served: map[string]int{}, refused: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		e := open()
		var lock sync.Mutex
		var all sync.WaitGroup
		send := func(name string, class snipecall.Class, number int) {
			start := time.Now()
			c := newCall(name, class, callTimeout)
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
			if name != "noisy" {
				r.waits = append(r.waits, time.Since(start))
			}
			lock.Unlock()
			time.Sleep(callTime + time.Duration(number)*time.Microsecond)
			done(nil)
		}
		source := func(name string, class snipecall.Class, rate, offset int) {
			all.Go(func() {
				for n := range int(noisyLength/time.Second) * rate {
					time.Sleep(time.Second/time.Duration(rate) + time.Duration(offset)*time.Nanosecond)
					all.Go(func() { send(name, class, n+offset) })
				}
			})
		}
		source("noisy", snipecall.Standard, noisyRate, 0)
		for n := range lightTeams {
			source(fmt.Sprintf("light %d", n), snipecall.Standard, lightRate, 101*(n+1))
		}
		all.Wait()
		slices.Sort(r.waits)
	})
	return r
}

// light returns the total numbers of the light teams' served and refused calls.
func (r noisyResult) light() (served, refused int) {
	for n := range lightTeams {
		served += r.served[fmt.Sprintf("light %d", n)]
		refused += r.refused[fmt.Sprintf("light %d", n)]
	}
	return served, refused
}

// wait returns a percentile of the light teams' waiting times.
func (r noisyResult) wait(percent int) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[(len(r.waits)-1)*percent/100].Round(time.Millisecond)
}

// TestMeasureStorm compares a fair queue with one in order of arrival. It guards
// against a team that sends far more calls than the upstream can serve and so
// delays the calls of other teams or has them refused.
func TestMeasureStorm(t *testing.T) {
	baseline := simulate(t, fifo)
	fair := simulate(t, func() enter { return NewQueue(noisyBatch).Enter })
	t.Log("Table: one team sends 500 calls/s for 30 s to an upstream that does 32/s; five others send 3/s each (450 calls)")
	t.Log("| queue | quiet teams: served | refused | wait, median | wait, 99th percentile | storm: served |")
	t.Log("|---|---|---|---|---|---|")
	for n, r := range []noisyResult{baseline, fair} {
		served, refused := r.light()
		t.Logf("| %s | %d | %d | %v | %v | %d |", []string{"in order of arrival", "fair"}[n],
			served, refused, r.wait(50), r.wait(99), r.served["noisy"])
	}
	served, refusedCalls := fair.light()
	must.Eq(t, lightTeams*lightRate*int(noisyLength/time.Second), served)
	must.Eq(t, 0, refusedCalls)
	must.Less(t, callTime, fair.wait(99), must.Sprint("a slot gets free within the time of one call"))
	must.Greater(t, 300, fair.served["noisy"], must.Sprint("the noisy team gets the capacity that the others leave unused"))
}
