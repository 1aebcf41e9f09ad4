package snipesignal_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipesignal"
)

const second = time.Second

// asks returns what an answer says that asks for rest.
func asks(rest time.Duration) snipesignal.Signal { return snipesignal.Signal{Rest: rest} }

// TestRest guards against requests to an upstream in the rest that it has asked for, also when a
// shorter rest is asked for after a longer one, and against all that wait coming at its end.
func TestRest(t *testing.T) {
	type step struct {
		// at is when, hear what an answer says that comes then; nil for none.
		at   time.Duration
		hear *snipesignal.Signal
		// want tells whether a request may go then. One that may is sent.
		want bool
	}
	say := func(s snipesignal.Signal) *snipesignal.Signal { return &s }
	served := say(snipesignal.Signal{})
	tests := map[string][]step{
		"Kept":         {{0, say(asks(3 * second)), false}, {2999 * time.Millisecond, nil, false}, {3 * second, nil, true}},
		"LongestEnd":   {{0, say(asks(3 * second)), false}, {second, say(asks(second)), false}, {2500 * time.Millisecond, nil, false}, {3 * second, nil, true}},
		"Prolonged":    {{0, say(asks(3 * second)), false}, {2 * second, say(asks(3 * second)), false}, {4 * second, nil, false}, {5 * second, nil, true}},
		"OneFirst":     {{0, say(asks(second)), false}, {second, nil, true}, {1010 * time.Millisecond, nil, false}, {1020 * time.Millisecond, served, true}, {1021 * time.Millisecond, nil, true}},
		"NoAnswer":     {{0, say(asks(second)), false}, {second, nil, true}, {1500 * time.Millisecond, nil, false}, {2 * second, nil, true}},
		"Again":        {{0, say(asks(second)), false}, {second, nil, true}, {1100 * time.Millisecond, say(asks(second)), false}, {2 * second, nil, false}, {2100 * time.Millisecond, nil, true}},
		"FormerAnswer": {{0, say(asks(3 * second)), false}, {second, served, false}, {3 * second, nil, true}, {3001 * time.Millisecond, nil, false}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &snipesignal.Book{}
				begun := time.Now()
				for _, s := range steps {
					time.Sleep(s.at - time.Since(begun))
					if s.hear != nil {
						b.Hear(upstream, time.Now(), *s.hear)
					}
					must.Eq(t, s.want, b.Open(upstream), must.Sprint(s.at))
					_, ok := b.Take(upstream)
					must.Eq(t, s.want, ok, must.Sprint(s.at))
				}
			})
		})
	}
}

// TestRestIsOnesOwn guards against a rest that binds other instances than the one that was asked.
func TestRestIsOnesOwn(t *testing.T) {
	one, other := &snipesignal.Book{}, &snipesignal.Book{}
	one.Hear(upstream, time.Now(), asks(second))
	other.Learn(one.News())
	other.Learn(one.Statements())
	must.False(t, one.Open(upstream))
	must.True(t, other.Open(upstream))
}

// TestRestNotSent guards against a request that is the first after a rest, reaches nothing, and holds
// the others up.
func TestRestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipesignal.Book{}
		b.Hear(upstream, time.Now(), asks(second))
		time.Sleep(second)
		giveBack, ok := b.Take(upstream)
		must.True(t, ok)
		must.False(t, b.Open(upstream))
		giveBack()
		must.True(t, b.Open(upstream))
	})
}

// TestPromiseAfterRest guards against refused callers that are told to come back within the rest, or
// all at the same moment after it.
func TestPromiseAfterRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipesignal.Book{}
		b.Hear(upstream, time.Now(), asks(3*second))
		b.Hear("u2", time.Now(), asks(2*second))
		last := time.Duration(0)
		for range 10 {
			wait, ok := b.Promise([]string{upstream, "u2", "unknown"})
			must.True(t, ok)
			must.Between(t, 2*second, wait, 2500*time.Millisecond)
			must.Greater(t, last, wait)
			last = wait
		}
		time.Sleep(3 * second)
		_, ok := b.Promise([]string{upstream, "u2"})
		must.False(t, ok)
	})
}
