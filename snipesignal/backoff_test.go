package snipesignal_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipesignal"
)

const second = time.Second

// backoffSignal returns a signal that asks for a backoff.
func backoffSignal(backoff time.Duration) snipesignal.Signal {
	return snipesignal.Signal{Backoff: backoff}
}

// TestBackoff guards against requests to an upstream during the backoff that it asked for, also
// when it asks for a shorter backoff after a longer one, and against all waiting requests being
// sent at once when the backoff ends.
func TestBackoff(t *testing.T) {
	type step struct {
		// at is when the step happens, and signal is the signal that arrives then; nil for none.
		at     time.Duration
		signal *snipesignal.Signal
		// want reports whether a request may be sent then. If it may, the test sends one.
		want bool
	}
	pointer := func(s snipesignal.Signal) *snipesignal.Signal { return &s }
	served := pointer(snipesignal.Signal{})
	tests := map[string][]step{
		"Kept":         {{0, pointer(backoffSignal(3 * second)), false}, {2999 * time.Millisecond, nil, false}, {3 * second, nil, true}},
		"LongestEnd":   {{0, pointer(backoffSignal(3 * second)), false}, {second, pointer(backoffSignal(second)), false}, {2500 * time.Millisecond, nil, false}, {3 * second, nil, true}},
		"Prolonged":    {{0, pointer(backoffSignal(3 * second)), false}, {2 * second, pointer(backoffSignal(3 * second)), false}, {4 * second, nil, false}, {5 * second, nil, true}},
		"OneFirst":     {{0, pointer(backoffSignal(second)), false}, {second, nil, true}, {1010 * time.Millisecond, nil, false}, {1020 * time.Millisecond, served, true}, {1021 * time.Millisecond, nil, true}},
		"NoAnswer":     {{0, pointer(backoffSignal(second)), false}, {second, nil, true}, {1500 * time.Millisecond, nil, false}, {2 * second, nil, true}},
		"Again":        {{0, pointer(backoffSignal(second)), false}, {second, nil, true}, {1100 * time.Millisecond, pointer(backoffSignal(second)), false}, {2 * second, nil, false}, {2100 * time.Millisecond, nil, true}},
		"FormerAnswer": {{0, pointer(backoffSignal(3 * second)), false}, {second, served, false}, {3 * second, nil, true}, {3001 * time.Millisecond, nil, false}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &snipesignal.Tracker{}
				begun := time.Now()
				for _, s := range steps {
					time.Sleep(s.at - time.Since(begun))
					if s.signal != nil {
						b.Record(upstream, time.Now(), *s.signal)
					}
					must.Eq(t, s.want, b.Open(upstream), must.Sprint(s.at))
					_, ok := b.Take(upstream)
					must.Eq(t, s.want, ok, must.Sprint(s.at))
				}
			})
		})
	}
}

// TestBackoffAppliesToOneInstance guards against a backoff that is passed to another instance in
// the updates and also stops the requests of that instance.
func TestBackoffAppliesToOneInstance(t *testing.T) {
	asked, other := &snipesignal.Tracker{}, &snipesignal.Tracker{}
	asked.Record(upstream, time.Now(), backoffSignal(second))
	other.Merge(asked.PendingUpdates())
	other.Merge(asked.CurrentUpdates())
	must.False(t, asked.Open(upstream))
	must.True(t, other.Open(upstream))
}

// TestBackoffProbeNotSent guards against requests that are held up because the first request after
// a backoff took the send slot and could not be sent.
func TestBackoffProbeNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipesignal.Tracker{}
		b.Record(upstream, time.Now(), backoffSignal(second))
		time.Sleep(second)
		undo, ok := b.Take(upstream)
		must.True(t, ok)
		must.False(t, b.Open(upstream))
		undo()
		must.True(t, b.Open(upstream))
	})
}

// TestRetryTimesAfterBackoff guards against retry times of refused callers that lie before the end
// of the first backoff, or all at the same moment after it, and against a retry time without a
// backoff.
func TestRetryTimesAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipesignal.Tracker{}
		b.Record(upstream, time.Now(), backoffSignal(3*second))
		b.Record("u2", time.Now(), backoffSignal(2*second))
		previous := time.Duration(0)
		for range 10 {
			wait, ok := b.RetryAfter([]string{upstream, "u2", "unknown"})
			must.True(t, ok)
			must.Between(t, 2*second, wait, 2500*time.Millisecond)
			must.Greater(t, previous, wait)
			previous = wait
		}
		time.Sleep(3 * second)
		_, ok := b.RetryAfter([]string{upstream, "u2"})
		must.False(t, ok)
	})
}
