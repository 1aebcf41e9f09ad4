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

// The fleet of the outage: 12 engines that answer 10 calls at once in a second
// each, at 5/6 of what they can do.
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

// fleet is a set of engines that slow down above their batch: each call costs
// the engine its work even when its caller has given up.
type fleet struct {
	start time.Time
	// admitted is how many calls an engine takes at once; it refuses more.
	admitted int

	lock     sync.Mutex // guards the fields below
	inFlight [outageEngines]int
	attempts map[int]int // by second
	answered map[int]int // by second
}

func (f *fleet) second() int { return int(time.Since(f.start) / time.Second) }

func (f *fleet) execute(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	n, err := strconv.Atoi(c.Upstream)
	if err != nil {
		return err
	}
	f.lock.Lock()
	f.attempts[f.second()]++
	since := time.Since(f.start)
	if since >= outageStart && since < outageEnd {
		f.lock.Unlock()
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "does not answer")
	}
	if f.inFlight[n] >= f.admitted {
		f.lock.Unlock()
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "full")
	}
	f.inFlight[n]++
	work := outageAnswer * time.Duration(max(f.inFlight[n], outageBatch)) / outageBatch
	// No two events at one instant: their order would be the scheduler's.
	work += time.Duration(spread(c.ID, 10) * float64(time.Millisecond))
	f.lock.Unlock()
	time.AfterFunc(work, func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.inFlight[n]--
	})
	if !snipetime.Sleep(ctx, min(work, outageDeadline/2)) || work > outageDeadline/2 {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "no progress")
	}
	f.lock.Lock()
	f.answered[f.second()]++
	f.lock.Unlock()
	return sink(snipecall.Chunk{Sequence: 1, Last: true})
}

// caller sends one request until it is answered or five tries have failed.
func (f *fleet) caller(a *Attempts, id string, n int) {
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

// outage returns the attempts per second at the peak after the outage, the
// attempts in the outage, and the answers in a window after it.
func outage(t *testing.T, budget *Budget, admitted int) (peak, during, answered int) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{start: time.Now(), admitted: admitted, attempts: map[int]int{}, answered: map[int]int{}}
		choose := func(c *snipecall.Call, failed []string) (string, error) {
			for n := range outageEngines {
				u := strconv.Itoa((int(spread(c.ID, 9)*outageEngines) + n) % outageEngines)
				if !slices.Contains(failed, u) {
					return u, nil
				}
			}
			return "", snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "none")
		}
		a := &Attempts{Choose: choose, Execute: f.execute, Budget: budget, Log: snipelog.Discard()}
		var all sync.WaitGroup
		for n := range int(outageLength/time.Second) * outageRate {
			time.Sleep(time.Second / outageRate)
			all.Go(func() { f.caller(a, "call-"+strconv.Itoa(n), n) })
		}
		all.Wait()
		time.Sleep(time.Minute)
		f.lock.Lock()
		defer f.lock.Unlock()
		end := int(outageEnd / time.Second)
		for s, n := range f.attempts {
			switch {
			case s >= end:
				peak = max(peak, n)
			case s >= int(outageStart/time.Second):
				during += n
			}
		}
		for s := end; s < end+int(outageWindow/time.Second); s++ {
			answered += f.answered[s]
		}
	})
	return peak, during, answered
}

// TestMeasureOutage compares an outage of all engines with and without the
// budget, at engines that refuse what they cannot do (as the limit of each
// upstream makes them) and at engines that take everything. Without the budget
// each failure becomes up to four attempts, also after the engines are back.
func TestMeasureOutage(t *testing.T) {
	tests := map[string]struct {
		admitted int
		answers  int // at least, in the window
	}{
		"limit": {2 * outageBatch, int(outageWindow/time.Second) * outageRate},
		"none":  {1 << 20, 0},
	}
	t.Log("Table: outage of all 12 engines for 15 s at 5/6 of what they can do; callers come back as told, five times")
	t.Log("| engines' admission | retries | attempts in the outage | peak attempts/s after it | answers in 30 s after it |")
	t.Log("|---|---|---|---|---|")
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		test := tests[name]
		freePeak, freeDuring, freeAnswered := outage(t, nil, test.admitted)
		peak, during, answered := outage(t, DefaultBudget(), test.admitted)
		t.Logf("| %s | no budget | %d | %d | %d |", name, freeDuring, freePeak, freeAnswered)
		t.Logf("| %s | budget | %d | %d | %d |", name, during, peak, answered)
		must.Less(t, freeDuring/2, during, must.Sprint("attempts in the outage"))
		must.Less(t, freePeak*3/4, peak, must.Sprint("peak after the outage"))
		must.GreaterEq(t, test.answers, answered, must.Sprint("answers after the outage"))
	}
}
