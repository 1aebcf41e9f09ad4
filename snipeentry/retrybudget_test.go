package snipeentry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	// retryInstances is the number of instances of a retry cluster.
	retryInstances = 6
	// retryRate is the rate of requests to all of them together, per second.
	retryRate = 100
	// retryFaultTime is the time from the beginning of the failures to the event of the test. All
	// instances together have spent their retries by then.
	retryFaultTime = 1300 * time.Millisecond
)

// retrySpan is the length of the window in which a retry cluster bounds its retries.
const retrySpan = 4 * time.Second

// retryCluster is a cluster whose instances have the settings of a bound, and the requests that were
// sent to them.
type retryCluster struct {
	*testCluster
	bound snipestand.RetryBound

	lock      sync.Mutex // guards the fields below
	instances []*instance
	// targets are the instances that receive requests, in turn.
	targets []*instance
	sent    []time.Time
}

func newRetryCluster(t *testing.T, instances int, bound snipestand.RetryBound) *retryCluster {
	s := &retryCluster{testCluster: newTestCluster(t, time.Millisecond), bound: bound}
	s.declare(1)
	for n := range instances {
		s.add(n)
	}
	for _, i := range s.instances {
		waitServing(t, i)
	}
	waitPeersKnown(t, s.instances)
	return s
}

// add starts one more instance.
func (s *retryCluster) add(n int) {
	i := s.start(fmt.Sprint("one", n), func(g *snipeentry.Settings) {
		g.RetryShare, g.RetrySlack, g.RetrySpan = s.bound.Share, s.bound.Slack, snipejson.Duration(s.bound.Span)
	})
	s.lock.Lock()
	defer s.lock.Unlock()
	s.instances = append(s.instances, i)
	s.targets = append(s.targets, i)
}

// waitRetrySlack waits until all instances may send retries of their parts of the slack. An instance that
// has just started may not, because a previous start of it may have sent as many.
func waitRetrySlack(t *testing.T, instances []*instance) {
	t.Helper()
	for _, i := range instances {
		eventually(t, func() bool {
			text := i.metrics()
			return strings.Contains(text, "snipepitch_retry_slack ") && !strings.Contains(text, "snipepitch_retry_slack 0\n")
		})
	}
}

// restartAll kills all instances and starts them again at once.
func (s *retryCluster) restartAll() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for n, i := range s.instances {
		s.instances[n] = s.restart(i)
	}
	s.targets = slices.Clone(s.instances)
}

// setTargets sends all requests to the given instances from now on.
func (s *retryCluster) setTargets(all []*instance) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.targets = all
}

// runCallers sends requests that may be repeated until done is closed.
func (s *retryCluster) runCallers(done <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	tick := time.NewTicker(time.Second / retryRate)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		s.lock.Lock()
		i := s.targets[n%len(s.targets)]
		s.sent = append(s.sent, time.Now())
		s.lock.Unlock()
		all.Go(func() { send(s.t, i.url, http.MethodPost, "/often/x", "") })
	}
}

// worst returns the window of the plain service in which the retries were the largest fraction of the
// allowed ones.
func (s *retryCluster) worst() snipestand.RetryWindow {
	var arrivals [][]snipestand.Arrival
	for _, r := range s.runners {
		if r.Service == "plain" {
			arrivals = append(arrivals, r.Arrivals())
		}
	}
	return s.bound.Worst(s.sent, snipestand.Retries(arrivals...))
}

// TestRetryBudgetOfAllInstances guards against instances that keep to the retry budget each by itself
// and exceed it together: all requests fail, and then the instances that spend the budget change.
func TestRetryBudgetOfAllInstances(t *testing.T) {
	both := snipestand.RetryBound{Share: 0.2, Slack: 40, Span: retrySpan}
	slackOnly := snipestand.RetryBound{Slack: 40, Span: retrySpan}
	tests := map[string]struct {
		bound     snipestand.RetryBound
		instances int
		event     func(s *retryCluster)
	}{
		"AllKilled":          {both, retryInstances, (*retryCluster).restartAll},
		"AllKilledSlackOnly": {slackOnly, retryInstances, (*retryCluster).restartAll},
		"TrafficMoves": {both, retryInstances, func(s *retryCluster) {
			s.setTargets(s.instances[retryInstances/2:])
		}},
		"Added": {both, 2, func(s *retryCluster) {
			for n := 2; n < retryInstances; n++ {
				s.add(n)
			}
			s.setTargets(s.instances[2:])
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRetryCluster(t, tt.instances, tt.bound)
			waitRetrySlack(t, s.instances)
			if name == "TrafficMoves" {
				s.setTargets(s.instances[:retryInstances/2])
			}
			done, ended := make(chan struct{}), make(chan struct{})
			go func() { defer close(ended); s.runCallers(done) }()
			time.Sleep(3 * retrySpan / 2)
			s.faults.Set(snipestand.RunnerErrors, 1<<30)
			time.Sleep(retryFaultTime)
			tt.event(s)
			time.Sleep(retrySpan)
			close(done)
			<-ended
			worst := s.worst()
			t.Log(worst)
			must.Positive(t, worst.Retries, must.Sprint("requests are retried"))
			must.LessEq(t, 1, worst.Use(), must.Sprint(worst))
		})
	}
}
