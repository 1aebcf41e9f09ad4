package snipeowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOwnerStartsAgain: an instance that starts again orders its own engines
// without waiting for its former lease.
func TestOwnerStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 4, 1, 3)
		defer p.end()
		p.watch(5 * time.Second)
		p.start(0)
		p.watch(1500 * time.Millisecond)
		must.Eq(t, 3, p.owned())
	})
}

// TestStartBeforeDirectory answers the pattern of all instances starting again at once, each of
// which knows the owners a moment before it knows the engines: it orders its engines again as
// soon as it knows them, not a renewal later.
func TestStartBeforeDirectory(t *testing.T) {
	const unread, soon = 100 * time.Millisecond, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 12, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 6, p.owned())
		p.unread.Store(int64(unread))
		for n := range p.holders {
			p.start(n)
		}
		p.watch(unread + soon)
		must.Eq(t, 6, p.owned())
	})
}

// TestStartBesideDirectory answers the pattern of engines that come to be known while the first
// step's write is under way: they are ordered again as soon.
func TestStartBesideDirectory(t *testing.T) {
	// A reading of the rows takes up to 600 ms here.
	const soon = 700 * time.Millisecond
	for unread := time.Duration(0); unread < 40*time.Millisecond; unread += 2 * time.Millisecond {
		t.Run(unread.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t, 12, 3, 6)
				defer p.end()
				p.watch(5 * time.Second)
				must.Eq(t, 6, p.owned())
				p.unread.Store(int64(unread))
				for n := range p.holders {
					p.start(n)
				}
				p.watch(unread + soon)
				must.Eq(t, 6, p.owned())
			})
		})
	}
}

// TestStartOutranked answers the pattern of all instances starting again at once, where those
// that owned the engines rank behind others by now: they order their engines again at once, and
// leave none to be taken over after a lease.
func TestStartOutranked(t *testing.T) {
	// A reading of the rows takes up to 600 ms here; a lease takes 2.7 s.
	const soon = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 13, 24, 6)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 6, p.owned())
		p.power = func(n int) float64 {
			if p.holders[n].Owns() {
				return 0.2
			}
			return 0.8
		}
		for n := range p.holders {
			p.start(n)
		}
		p.watch(soon)
		must.Eq(t, 6, p.owned())
		p.watch(10 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestStartRefused answers the pattern of all instances starting again while the store refuses
// writes: it guards against a whole renewal between the end of that and the first order.
func TestStartRefused(t *testing.T) {
	// A reading of the rows takes up to 600 ms here, a renewal comes each second.
	const refused, soon = 1100 * time.Millisecond, 850 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 12, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 6, p.owned())
		for n := range p.holders {
			p.start(n)
			p.links[n].refuseWrites(refused)
		}
		p.watch(refused + soon)
		must.Eq(t, 6, p.owned())
	})
}
