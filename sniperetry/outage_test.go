package sniperetry

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

// The simulated cluster: 12 engines, each of which executes 10 calls at once in a
// second, at 5/6 of their capacity. All engines fail from outageStart to outageEnd.
const (
	outageEngines  = 12
	outageBatch    = 10
	outageRate     = 100
	outageStart    = 10 * time.Second
	outageEnd      = 25 * time.Second
	outageLength   = 90 * time.Second
	outageDeadline = 5 * time.Second
	outageAnswer   = time.Second
	outageWindow   = 30 * time.Second
)

// cluster simulates a set of engines that slow down above their batch. An engine
// executes each call to its end, even if the call has failed at its caller before.
type cluster struct {
	start time.Time
	// admitted is how many calls an engine accepts at once; it refuses more.
	admitted int

	lock     sync.Mutex // guards the fields below
	inFlight [outageEngines]int
	attempts map[int]int // by second
	answered map[int]int // by second
}

// second returns the current second of the simulation.
func (k *cluster) second() int { return int(time.Since(k.start) / time.Second) }

// execute executes one attempt at an engine. An attempt that would take longer than
// half the deadline fails after that time.
func (k *cluster) execute(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	n, err := strconv.Atoi(c.Upstream)
	if err != nil {
		return err
	}
	k.lock.Lock()
	k.attempts[k.second()]++
	since := time.Since(k.start)
	if since >= outageStart && since < outageEnd {
		k.lock.Unlock()
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "does not answer")
	}
	if k.inFlight[n] >= k.admitted {
		k.lock.Unlock()
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "full")
	}
	k.inFlight[n]++
	work := outageAnswer * time.Duration(max(k.inFlight[n], outageBatch)) / outageBatch
	// No two events occur at the same instant, because the scheduler would decide
	// their order.
	work += time.Duration(jitter(c.ID, 10) * float64(time.Millisecond))
	k.lock.Unlock()
	time.AfterFunc(work, func() {
		k.lock.Lock()
		defer k.lock.Unlock()
		k.inFlight[n]--
	})
	if !snipetime.Sleep(ctx, min(work, outageDeadline/2)) || work > outageDeadline/2 {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "no progress")
	}
	k.lock.Lock()
	k.answered[k.second()]++
	k.lock.Unlock()
	return sink(snipecall.Chunk{Sequence: 1, Last: true})
}

// caller sends one request until it is answered or five calls have failed. It
// waits for the stated retry delay, at least 100 ms, after each failed call.
func (k *cluster) caller(a *Retrier, id string, n int) {
	for try := range 5 {
		c := &snipecall.Call{
			ID: id + "." + strconv.Itoa(try), Team: "t" + strconv.Itoa(n%7), Idempotent: true,
			Deadline: time.Now().Add(outageDeadline),
		}
		ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
		err := a.Serve(ctx, c, func(snipecall.Chunk) error { return nil })
		cancel()
		if err == nil {
			return
		}
		time.Sleep(max(snipeerror.From(err).RetryAfter, 100*time.Millisecond))
	}
}

// outage simulates an outage of all engines with the given retry budget. It returns
// the highest number of attempts in a second after the outage, the number of
// attempts during the outage, and the number of answers in outageWindow after it.
func outage(t *testing.T, budget *Budget, admitted int) (peak, during, answered int) {
	synctest.Test(t, func(*testing.T) {
		k := &cluster{start: time.Now(), admitted: admitted, attempts: map[int]int{}, answered: map[int]int{}}
		choose := func(c *snipecall.Call, failed []string) (string, error) {
			for n := range outageEngines {
				u := strconv.Itoa((int(jitter(c.ID, 9)*outageEngines) + n) % outageEngines)
				if !slices.Contains(failed, u) {
					return u, nil
				}
			}
			return "", snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "none")
		}
		a := &Retrier{Choose: choose, Execute: k.execute, Budget: budget, Log: snipelog.Discard()}
		var all sync.WaitGroup
		for n := range int(outageLength/time.Second) * outageRate {
			time.Sleep(time.Second / outageRate)
			all.Go(func() { k.caller(a, "call-"+strconv.Itoa(n), n) })
		}
		all.Wait()
		time.Sleep(time.Minute)
		k.lock.Lock()
		defer k.lock.Unlock()
		end := int(outageEnd / time.Second)
		for s, n := range k.attempts {
			switch {
			case s >= end:
				peak = max(peak, n)
			case s >= int(outageStart/time.Second):
				during += n
			}
		}
		for s := end; s < end+int(outageWindow/time.Second); s++ {
			answered += k.answered[s]
		}
	})
	return peak, during, answered
}

// TestMeasureOutage compares an outage of all engines with and without a retry
// budget, at engines that refuse calls beyond a limit (as the limit of each upstream
// does) and at engines that accept every call. It guards against a retry storm:
// without the budget each call makes up to four attempts, also after the recovery
// of the engines. The budget must halve the attempts during the outage, and lower the
// highest number of attempts in a second after it to less than three quarters.
func TestMeasureOutage(t *testing.T) {
	tests := map[string]struct {
		admitted int
		answers  int // lower bound for the answers in outageWindow
	}{
		"limit": {2 * outageBatch, int(outageWindow/time.Second) * outageRate},
		"none":  {1 << 20, 0},
	}
	t.Log("Table: outage of all 12 engines for 15 s at 5/6 of what they can do; callers come back as told, five times")
	t.Log("| engines' admission | retries | attempts in the outage | peak attempts/s after it | answers in 30 s after it |")
	t.Log("|---|---|---|---|---|")
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		test := tests[name]
		unboundedPeak, unboundedDuring, unboundedAnswered := outage(t, nil, test.admitted)
		peak, during, answered := outage(t, DefaultBudget(), test.admitted)
		t.Logf("| %s | no budget | %d | %d | %d |", name, unboundedDuring, unboundedPeak, unboundedAnswered)
		t.Logf("| %s | budget | %d | %d | %d |", name, during, peak, answered)
		must.Less(t, unboundedDuring/2, during, must.Sprint("attempts in the outage"))
		must.Less(t, unboundedPeak*3/4, peak, must.Sprint("peak after the outage"))
		must.GreaterEq(t, test.answers, answered, must.Sprint("answers after the outage"))
	}
}
