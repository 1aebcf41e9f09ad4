package snipeowner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOwnerRestarts checks that a restarted instance orders its own engines without waiting
// for the end of its previous lease.
func TestOwnerRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 4, 1, 3)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		s.start(0)
		s.runAndCheck(1500 * time.Millisecond)
		must.Eq(t, 3, s.orderable())
	})
}

// TestStartBeforeDirectory guards against instances that order their engines a whole renewal
// interval late when all restart at once and each reads the owner rows shortly before the
// directory of engines.
func TestStartBeforeDirectory(t *testing.T) {
	const directoryDelay, limit = 100 * time.Millisecond, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 12, 3, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		must.Eq(t, 6, s.orderable())
		s.directoryDelay.Store(int64(directoryDelay))
		for n := range s.holders {
			s.start(n)
		}
		s.runAndCheck(directoryDelay + limit)
		must.Eq(t, 6, s.orderable())
	})
}

// TestStartDuringDirectoryRead guards against instances that order their engines a whole renewal
// interval late when the engines become known during the write of the first step.
func TestStartDuringDirectoryRead(t *testing.T) {
	// A read of the rows takes up to 600 ms here.
	const limit = 700 * time.Millisecond
	for directoryDelay := time.Duration(0); directoryDelay < 40*time.Millisecond; directoryDelay += 2 * time.Millisecond {
		t.Run(directoryDelay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 12, 3, 6)
				defer s.shutDown()
				s.runAndCheck(5 * time.Second)
				must.Eq(t, 6, s.orderable())
				s.directoryDelay.Store(int64(directoryDelay))
				for n := range s.holders {
					s.start(n)
				}
				s.runAndCheck(directoryDelay + limit)
				must.Eq(t, 6, s.orderable())
			})
		})
	}
}

// TestStartOutranked guards against engines that are taken over only after a lease when all
// instances restart at once and the previous owners now rank behind others: the previous owners
// must order their engines again at once.
func TestStartOutranked(t *testing.T) {
	// A read of the rows takes up to 600 ms here; a lease lasts 2.7 s.
	const limit = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 13, 24, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		must.Eq(t, 6, s.orderable())
		s.power = func(n int) float64 {
			if s.holders[n].Owns() {
				return 0.2
			}
			return 0.8
		}
		for n := range s.holders {
			s.start(n)
		}
		s.runAndCheck(limit)
		must.Eq(t, 6, s.orderable())
		s.runAndCheck(10 * time.Second)
		must.Eq(t, 6, s.orderable())
	})
}

// TestStartRefused guards against a whole renewal interval between the first accepted write and
// the first order when all instances restart while the store refuses writes.
func TestStartRefused(t *testing.T) {
	// A read of the rows takes up to 600 ms here; renewals are one second apart.
	const refused, limit = 1100 * time.Millisecond, 850 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 12, 3, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		must.Eq(t, 6, s.orderable())
		for n := range s.holders {
			s.start(n)
			s.links[n].refuseWrites(refused)
		}
		s.runAndCheck(refused + limit)
		must.Eq(t, 6, s.orderable())
	})
}
