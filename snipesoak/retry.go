package snipesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetime"
)

// retryBound is the instances' RetryShare, RetrySlack and RetrySpan settings.
var retryBound = snipestand.RetryBound{Share: 0.2, Slack: 58, Span: snipeentry.DefaultRetrySpan}

// spenderFaults change which instances may send retries, or which receive the requests that earn them.
var spenderFaults = []fault{
	{"kill", killInstance},
	{"stop", stopInstance},
	{"freeze", freezeInstance},
	{"cut the store off", cutStore},
	{"the store misbehaves", disruptStore},
	{"kill all", killAll},
	{"callers move", moveCallers},
}

// retryInstances is the least number of instances in seeds that judge the retries of failing upstreams.
const retryInstances = 9

// retryCallers is the number of callers in these seeds, and retryPause the time between two requests of
// one of them.
const (
	retryCallers = 30
	retryPause   = 85 * time.Millisecond
)

// extraFailLength is how much longer than other faults failUpstreams lasts, so that the instances
// spend their retries while other faults change who may spend them.
const extraFailLength = 8 * time.Second

// judgesRetries reports whether the seed has the instances, callers and faults that judge the retries of
// failing upstreams.
func (s *Soak) judgesRetries() bool { return rangeOf(s.Seed).judgesRetries }

// adapterCount returns the number of adapters that callers request. In seeds that judge the retries of
// failing upstreams each engine can hold all of them, so that no request waits for a load.
func (s *Soak) adapterCount() int {
	if s.judgesRetries() {
		return slots
	}
	return adapters
}

// callers returns the number of concurrent callers.
func (s *Soak) callers() int {
	if s.judgesRetries() {
		return retryCallers
	}
	return callerCount
}

// callerKinds returns the kinds of requests that callers draw from. In seeds that judge the retries of
// failing upstreams, two of three may be repeated.
func (s *Soak) callerKinds() []requestKind {
	if !s.judgesRetries() {
		return requestKinds
	}
	repeatable := slices.DeleteFunc(slices.Clone(requestKinds), func(k requestKind) bool { return k.once })
	return slices.Concat(requestKinds, repeatable)
}

// failUpstreams makes the upstreams fail all requests. When the instances have spent their retries, all
// of them are killed and start again, or the callers move to one half of them.
func failUpstreams(s *Soak, r *rand.Rand, d time.Duration) string {
	time.Sleep(earnTime)
	ctx, cancel := context.WithTimeout(context.Background(), spendTime+d+extraFailLength)
	defer cancel()
	change := spenderChanges[r.IntN(len(spenderChanges))]
	var changed sync.WaitGroup
	changed.Go(func() {
		time.Sleep(spendTime)
		change.inject(s, r, spenderChangeLength)
	})
	// Other faults of upstreams set the same faults.
	for snipetime.Sleep(ctx, failInterval) {
		s.faults.Set(snipestand.RunnerErrors, allRequests)
	}
	s.faults.Set(snipestand.RunnerNoFault, 0)
	changed.Wait()
	return change.name
}

// spenderChanges are the faults that failUpstreams contains.
var spenderChanges = []fault{{"kill all", killAll}, {"callers move", moveCallers}}

const (
	// earnTime is the time in which the callers' requests earn retries before the upstreams fail.
	earnTime = 8 * time.Second
	// failInterval is the time between two settings of the fault.
	failInterval = 50 * time.Millisecond
	// spendTime is the time in which the callers' requests use up the retries of all instances.
	spendTime = 2500 * time.Millisecond
	// spenderChangeLength is the length of the fault that failUpstreams contains.
	spenderChangeLength = 1200 * time.Millisecond
)

// moveCallers makes all callers send their requests to the instances of one half for d.
func moveCallers(s *Soak, r *rand.Rand, d time.Duration) string {
	half := (len(s.instances) + 1) / 2
	first := r.IntN(len(s.instances))
	var some []*instance
	for n := range half {
		some = append(some, s.instances[(first+n)%len(s.instances)])
	}
	s.targets.Store(&some)
	time.Sleep(d)
	s.targets.CompareAndSwap(&some, &s.instances)
	return fmt.Sprint(half, " from ", s.instances[first].name)
}

// allRequests is more requests than a run has.
const allRequests = 1 << 30

// auditRetries checks that no service received more retries than the bound allows, in any window and
// whatever happened to the instances. It adds the window with the most retries to the log of faults.
func (s *Soak) auditRetries() {
	arrivals := map[string][][]snipestand.Arrival{}
	for _, r := range s.runners {
		arrivals[r.Service] = append(arrivals[r.Service], r.Arrivals())
	}
	for service, all := range arrivals {
		requests := s.sentTimes[service]
		slices.SortFunc(requests, time.Time.Compare)
		retries := snipestand.Retries(all...)
		worst := retryBound.Worst(requests, retries)
		// An error from writing the log of faults does not affect the run.
		_, _ = fmt.Fprintf(s.Out, "%s: %d requests, %d retries; %s\n", service, len(requests), len(retries), worst)
		if worst.Use() > 1 {
			s.breach("retries of all instances stay within the budget", "%s: %s", service, worst)
		}
	}
}
