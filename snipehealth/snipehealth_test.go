package snipehealth

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/sniperoute"
)

func newTracker() *Tracker { return &Tracker{Log: snipelog.Discard()} }

// candidates returns n usable candidates, which are named by their index.
func candidates(n int) []sniperoute.Candidate {
	all := make([]sniperoute.Candidate, n)
	for i := range all {
		name := strconv.Itoa(i)
		all[i] = sniperoute.Candidate{Name: name, Hash: sniperoute.Hash(name), Usable: true}
	}
	return all
}

// usable returns the names of those of n candidates that MarkUnusable leaves usable for a
// call.
func usable(tracker *Tracker, key uint64, n int) []string {
	all := candidates(n)
	tracker.MarkUnusable(key, all)
	var names []string
	for _, c := range all {
		if c.Usable {
			names = append(names, c.Name)
		}
	}
	return names
}

// TestObserve guards against upstreams that are not taken out for a fault, or are
// taken out for too little. Each row states the observations, and the state and
// reason that must follow.
func TestObserve(t *testing.T) {
	success := Observation{Reached: true, Gap: 30 * time.Millisecond}
	tests := map[string]struct {
		before int // successful calls before the fault
		then   Observation
		times  int
		state  State
		reason Reason
	}{
		"does not answer":    {before: 0, then: Observation{}, times: 1, state: Out, reason: Unreachable},
		"one failure of ten": {before: 9, then: Observation{Reached: true, Failed: true}, times: 1},
		"fails again and again": {
			before: 9, then: Observation{Reached: true, Failed: true}, times: 4, state: Out, reason: Failing,
		},
		"fails from the start": {then: Observation{Reached: true, Failed: true}, times: 5, state: Out, reason: Failing},
		"slower than before": {
			before: 20, then: Observation{Reached: true, Gap: 300 * time.Millisecond}, times: 5, state: Out, reason: Slow,
		},
		"one slow answer":     {before: 20, then: Observation{Reached: true, Gap: 300 * time.Millisecond}, times: 1},
		"twice as slow":       {before: 20, then: Observation{Reached: true, Gap: 60 * time.Millisecond}, times: 50},
		"slow from the start": {then: Observation{Reached: true, Gap: 2 * time.Second}, times: 5, state: Out, reason: Slow},
		"asks for a pause":    {before: 1, then: Observation{Reached: true, Backoff: time.Second}, times: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker()
				for range test.before {
					tracker.Observe("0", success)
				}
				for range test.times {
					tracker.Observe("0", test.then)
				}
				state, reason := tracker.State("0")
				must.Eq(t, test.state, state)
				must.Eq(t, test.reason, reason)
				wantOut := test.state == Out || test.then.Backoff > 0
				must.Eq(t, wantOut, len(usable(tracker, 1, 3)) == 2)
			})
		})
	}
}

// TestLongestBackoff guards against a shorter backoff, from a call that was already running, that
// ends a longer backoff of the same upstream.
func TestLongestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker()
		tracker.Observe("0", Observation{Reached: true, Backoff: 3 * time.Second})
		time.Sleep(100 * time.Millisecond)
		tracker.Observe("0", Observation{Reached: true, Backoff: 250 * time.Millisecond})
		time.Sleep(2800 * time.Millisecond)
		must.Eq(t, []string{"1", "2"}, usable(tracker, 1, 3))
		time.Sleep(200 * time.Millisecond)
		must.Len(t, 3, usable(tracker, 1, 3))
	})
}

// TestMinimumUsable guards against the exclusion of so many slow upstreams that fewer
// than two thirds of the candidates remain and are overloaded. Unreachable upstreams must
// all be excluded.
func TestMinimumUsable(t *testing.T) {
	tests := map[string]struct {
		then Observation
		left int
	}{
		"all slow":        {Observation{Reached: true, Gap: 2 * time.Second}, 9},
		"all unreachable": {Observation{}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			for n := range 9 {
				for range 5 {
					tracker.Observe(strconv.Itoa(n), test.then)
				}
			}
			must.Len(t, test.left, usable(tracker, 1, 9))
		})
	}
}

// TestReadmission guards against an upstream that gets calls again without a probe, or at
// once with its full share, and against a probe delay that starts again at its minimum
// when the upstream fails in the state Ramp.
func TestReadmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker()
		all := func(string) bool { return true }
		down := errors.New("down")
		probes := 0
		probe := func(context.Context, string) error { probes++; return down }
		tracker.Observe("0", Observation{})
		tracker.Step(t.Context(), all, probe)
		must.Eq(t, 0, probes, must.Sprint("probed at once"))
		for range 60 {
			time.Sleep(time.Second)
			tracker.Step(t.Context(), all, probe)
		}
		must.Between(t, 4, probes, 8, must.Sprint("probes of an upstream that stays down"))
		must.Len(t, 2, usable(tracker, 1, 3))
		down = nil
		time.Sleep(maxProbeDelay)
		tracker.Step(t.Context(), all, probe)
		state, _ := tracker.State("0")
		must.Eq(t, Ramp, state)
		early := shareOf(tracker)
		time.Sleep(rampTime / 2)
		middle := shareOf(tracker)
		must.Less(t, 0.1, early)
		must.Between(t, 0.4, middle, 0.6)
		tracker.Observe("0", Observation{})
		must.Eq(t, 0.0, shareOf(tracker))
		time.Sleep(maxProbeDelay - time.Second)
		must.SliceEmpty(t, tracker.dueProbes(), must.Sprint("probed as early as the first time"))
		time.Sleep(time.Second)
		tracker.Step(t.Context(), all, probe)
		time.Sleep(rampTime)
		must.Eq(t, 1.0, shareOf(tracker))
	})
}

// shareOf returns the share of the calls for which upstream 0 is usable.
func shareOf(tracker *Tracker) float64 {
	n := 0
	for key := range uint64(1000) {
		if names := usable(tracker, sniperoute.Hash(strconv.FormatUint(key, 10)), 3); names[0] == "0" {
			n++
		}
	}
	return float64(n) / 1000
}

// TestRecordAnnouncement guards against an announced state that has no effect or does
// not expire, and against one that replaces a state detected by this instance.
func TestRecordAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker()
		tracker.RecordAnnouncement("0", Out, Unreachable, 30*time.Second)
		must.Eq(t, []string{"1", "2"}, usable(tracker, 1, 3))
		time.Sleep(31 * time.Second)
		must.Eq(t, []string{"0", "1", "2"}, usable(tracker, 1, 3))
		tracker.Observe("0", Observation{})
		tracker.RecordAnnouncement("0", Up, None, 30*time.Second)
		must.Eq(t, []string{"1", "2"}, usable(tracker, 1, 3))
	})
}

// TestObservationOfFailure checks the Observation that follows from the failure of a call. It guards
// against failures that wrongly count, or do not count, as failures of the upstream.
func TestObservationOfFailure(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Observation
		none bool
	}{
		"answered":    {nil, Observation{Reached: true, Group: "base/b"}, false},
		"unreachable": {snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, ""), Observation{Group: "base/b"}, false},
		"broken": {
			snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, ""), Observation{Reached: true, Failed: true, Group: "base/b"}, false,
		},
		"deadline": {snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, ""), Observation{}, true},
		"refused": {
			snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "").After(time.Hour),
			Observation{Reached: true, Backoff: maxBackoff, Group: "base/b"},
			false,
		},
		"bad request":      {snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, ""), Observation{}, true},
		"limit of a team":  {snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, ""), Observation{}, true},
		"caller went away": {snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, ""), Observation{}, true},
		"load failed":      {snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, ""), Observation{}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			timer := &answerTimer{}
			o, ok := timer.observation(&snipecall.Call{Base: "b"}, test.err)
			must.Eq(t, !test.none, ok)
			if ok {
				must.Eq(t, test.want, o)
			}
		})
	}
}
