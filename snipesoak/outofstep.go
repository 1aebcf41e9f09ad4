package snipesoak

import (
	"context"
	"fmt"
	random "math/rand/v2"
	"sync"
	"syscall"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// outOfStepTime is how long an instance is out of step: longer than instances wait before streams begin at a new
	// software version, so that such streams exist when it returns.
	outOfStepTime = 7 * time.Second
	// heldBackStreams is the number of streams that callers take up at the instance when it returns, and heldBackEvents
	// the most events that they have of them.
	heldBackStreams = 16
	heldBackEvents  = 20
)

// outOfStepFault freezes an instance, or cuts it off the store, while engines with new software join, and has streams taken
// up there when it returns.
var outOfStepFault = fault{"an instance is out of step during a release", outOfStep}

func outOfStep(s *Soak, r *random.Rand, _ time.Duration) string {
	n := r.IntN(s.Instances)
	i := s.instances[n]
	i.faultLock.Lock()
	defer i.faultLock.Unlock()
	end, how := s.takeOutOfStep(r, n)
	first := r.IntN(s.engines())
	var releases sync.WaitGroup
	for k := range 2 {
		source := random.New(random.NewPCG(r.Uint64(), 1)) //nolint:gosec // the same faults for the same seed
		releases.Go(func() { s.release((first+k)%s.engines(), softwareVersions[source.IntN(len(softwareVersions))]) })
	}
	time.Sleep(outOfStepTime - streamLead)
	var streams sync.WaitGroup
	returned := make(chan struct{})
	for range heldBackStreams {
		other := s.instances[(n+1+r.IntN(s.Instances-1))%s.Instances]
		source := random.New(random.NewPCG(r.Uint64(), 1)) //nolint:gosec // as above
		streams.Go(func() { s.takeUpAt(i, other, source, returned) })
	}
	time.Sleep(streamLead)
	end()
	close(returned)
	streams.Wait()
	releases.Wait()
	return i.name + " " + how
}

// streamLead is how long before the instance returns the streams begin that are taken up there.
const streamLead = time.Second

// takeOutOfStep freezes the n-th instance or cuts it off the store, and returns a function that ends it.
func (s *Soak) takeOutOfStep(r *random.Rand, n int) (end func(), how string) {
	i := s.instances[n]
	healed := s.disturb(i.name)
	if r.IntN(2) == 0 {
		i.signal(syscall.SIGSTOP)
		return func() {
			s.lock.Lock()
			s.resumed[i.name] = append(s.resumed[i.name], time.Now())
			s.lock.Unlock()
			i.signal(syscall.SIGCONT)
			healed()
		}, "frozen"
	}
	link := s.cutter.Links[n].Listen
	mode := cutModes[r.IntN(len(cutModes))]
	if err := s.cutter.Cut(link, mode); err != nil {
		s.breach("the soak itself", "cut: %v", err)
	}
	return func() {
		if err := s.cutter.Cut(link, snipestand.CutNone); err != nil {
			s.breach("the soak itself", "mend: %v", err)
		}
		healed()
	}, fmt.Sprint("cut off the store, ", mode)
}

// takeUpAt begins a stream at another instance and, as soon as returned is closed, takes it up at i.
func (s *Soak) takeUpAt(i, other *instance, r *random.Rand, returned <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	var h heldStream
	adapter := r.IntN(s.adapterCount())
	s.readMore(ctx, other, adapter, &h, 1+r.IntN(heldBackEvents))
	<-returned
	if h.events > 0 {
		s.readMore(ctx, i, adapter, &h, s.streamEvents())
	}
}
