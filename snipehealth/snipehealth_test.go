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

func candidates(n int) []sniperoute.Candidate {
	all := make([]sniperoute.Candidate, n)
	for i := range all {
		name := strconv.Itoa(i)
		all[i] = sniperoute.Candidate{Name: name, Hash: sniperoute.Hash(name), Usable: true}
	}
	return all
}

// usable returns which candidates the tracker leaves for a call.
func usable(t *Tracker, key uint64, n int) []string {
	all := candidates(n)
	t.Mark(key, all)
	var names []string
	for _, c := range all {
		if c.Usable {
			names = append(names, c.Name)
		}
	}
	return names
}

// TestObserve is the fault table: what takes an upstream out.
func TestObserve(t *testing.T) {
	good := Observation{Reached: true, Gap: 30 * time.Millisecond}
	tests := map[string]struct {
		before int // good calls before
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
		"asks for a pause":    {before: 1, then: Observation{Reached: true, Refused: time.Second}, times: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newTracker()
				for range test.before {
					k.Observe("0", good)
				}
				for range test.times {
					k.Observe("0", test.then)
				}
				state, reason := k.State("0")
				must.Eq(t, test.state, state)
				must.Eq(t, test.reason, reason)
				wantOut := test.state == Out || test.then.Refused > 0
				must.Eq(t, wantOut, len(usable(k, 1, 3)) == 2)
			})
		})
	}
}

// TestLongestPause guards against a shorter pause, of a call that was under way, which ends a longer
// one that the upstream has asked for.
func TestLongestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTracker()
		k.Observe("0", Observation{Reached: true, Refused: 3 * time.Second})
		time.Sleep(100 * time.Millisecond)
		k.Observe("0", Observation{Reached: true, Refused: 250 * time.Millisecond})
		time.Sleep(2800 * time.Millisecond)
		must.Eq(t, []string{"1", "2"}, usable(k, 1, 3))
		time.Sleep(200 * time.Millisecond)
		must.Len(t, 3, usable(k, 1, 3))
	})
}

// TestFloor: two thirds of the candidates remain when all have become slow,
// and none that does not answer.
func TestFloor(t *testing.T) {
	tests := map[string]struct {
		then Observation
		left int
	}{
		"all slow":        {Observation{Reached: true, Gap: 2 * time.Second}, 9},
		"all unreachable": {Observation{}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newTracker()
			for n := range 9 {
				for range 5 {
					k.Observe(strconv.Itoa(n), test.then)
				}
			}
			must.Len(t, test.left, usable(k, 1, 9))
		})
	}
}

// TestReturn: an upstream that was out comes back by a probe, then with a
// growing share; when it fails meanwhile it stays out twice as long.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTracker()
		all := func(string) bool { return true }
		down := errors.New("down")
		probes := 0
		probe := func(context.Context, string) error { probes++; return down }
		k.Observe("0", Observation{})
		k.Step(t.Context(), all, probe)
		must.Eq(t, 0, probes, must.Sprint("probed at once"))
		for range 60 {
			time.Sleep(time.Second)
			k.Step(t.Context(), all, probe)
		}
		must.Between(t, 4, probes, 8, must.Sprint("probes of an upstream that stays away"))
		must.Len(t, 2, usable(k, 1, 3))
		down = nil
		time.Sleep(maxOut)
		k.Step(t.Context(), all, probe)
		state, _ := k.State("0")
		must.Eq(t, Ramp, state)
		early := shareOf(k)
		time.Sleep(rampTime / 2)
		middle := shareOf(k)
		must.Less(t, 0.1, early)
		must.Between(t, 0.4, middle, 0.6)
		k.Observe("0", Observation{})
		must.Eq(t, 0.0, shareOf(k))
		time.Sleep(maxOut - time.Second)
		must.SliceEmpty(t, k.due(), must.Sprint("probed as early as the first time"))
		time.Sleep(time.Second)
		k.Step(t.Context(), all, probe)
		time.Sleep(rampTime)
		must.Eq(t, 1.0, shareOf(k))
	})
}

// shareOf returns the part of calls that may go to upstream 0.
func shareOf(k *Tracker) float64 {
	n := 0
	for key := range uint64(1000) {
		if names := usable(k, sniperoute.Hash(strconv.FormatUint(key, 10)), 3); names[0] == "0" {
			n++
		}
	}
	return float64(n) / 1000
}

// TestHear: what another instance has found counts until it expires; what this
// one has found itself outweighs it.
func TestHear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTracker()
		k.Hear("0", Out, Unreachable, 30*time.Second)
		must.Eq(t, []string{"1", "2"}, usable(k, 1, 3))
		time.Sleep(31 * time.Second)
		must.Eq(t, []string{"0", "1", "2"}, usable(k, 1, 3))
		k.Observe("0", Observation{})
		k.Hear("0", Up, None, 30*time.Second)
		must.Eq(t, []string{"1", "2"}, usable(k, 1, 3))
	})
}

// TestWatch: which failures of a call count against its upstream.
func TestWatch(t *testing.T) {
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
			Observation{Reached: true, Refused: maxRefused, Group: "base/b"},
			false,
		},
		"bad request":      {snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, ""), Observation{}, true},
		"limit of a team":  {snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, ""), Observation{}, true},
		"caller went away": {snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, ""), Observation{}, true},
		"load failed":      {snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, ""), Observation{}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &watched{}
			o, ok := w.observation(&snipecall.Call{Base: "b"}, test.err)
			must.Eq(t, !test.none, ok)
			if ok {
				must.Eq(t, test.want, o)
			}
		})
	}
}
