package snipeentry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// copyRequests is the number of requests of a case, copyLength the time in which they are sent and goneUpstreams the
	// number of upstreams whose entries appear meanwhile, although they are gone.
	copyRequests, goneUpstreams = 150, 30
	copyLength                  = 4 * time.Second
	// copyAttempts bounds the attempts of a caller for one request.
	copyAttempts = 3
)

// onceRequests are the requests that callers send in turn. They must run once.
var onceRequests = []struct {
	target string
	header []string
}{
	{"/once/x", nil},
	{"/final/x", []string{modelHeader, "base"}},
}

// copyCount counts what has become of the requests of a case.
type copyCount struct {
	// twice are requests that ran more than once over all attempts, promised are attempts that ran although their caller was
	// promised that they had not, lost are attempts that ran and were not answered in full.
	twice, promised, lost []string
	attempts, answered    int
}

// TestCopiedAnswers guards against requests that must run once and run twice, or are reported as not run although they have run,
// or lose their answers, because an upstream has sent the copy of an earlier answer of the connection ahead of theirs.
func TestCopiedAnswers(t *testing.T) {
	tests := map[string]struct {
		upstreams int // of each service
		// gone lets entries of upstreams that are gone name the addresses of those that live.
		gone bool
		// refusals is how many attempts in a row are refused, once in a while.
		refusals int
		copies   snipestand.AnswerCopies
	}{
		"GoneNameOne":      {1, true, 0, snipestand.AnswerCopies{Statuses: []int{421}}},
		"GoneNameTwo":      {2, true, 0, snipestand.AnswerCopies{Statuses: []int{421}}},
		"GoneInPieces":     {2, true, 0, snipestand.AnswerCopies{Statuses: []int{421}, InPieces: true}},
		"RefusedOnceByOne": {1, false, 1, snipestand.AnswerCopies{Statuses: []int{503}}},
		"RefusedOnce":      {2, false, 1, snipestand.AnswerCopies{Statuses: []int{503}}},
		"RefusedTwice":     {2, false, 2, snipestand.AnswerCopies{Statuses: []int{503}, InPieces: true}},
		"RefusedOften":     {2, false, 4, snipestand.AnswerCopies{Statuses: []int{503}}},
		"Successes":        {2, false, 0, snipestand.AnswerCopies{Statuses: []int{200}, InPieces: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runners []*snipestand.Runner
			for _, r := range twoOfEach() {
				if tt.upstreams == 2 || r.ID == "e1" || r.ID == "p1" {
					runners = append(runners, r)
				}
			}
			s := startTestCluster(t, time.Millisecond, runners, func(r *snipestand.Runner) {
				r.Address = serve(t, r.Handler()).String()
			})
			s.declare(1)
			instances := []*instance{s.start("one"), s.start("two")}
			for _, i := range instances {
				waitServing(t, i)
			}
			for _, r := range runners {
				r.SetCopies(tt.copies)
			}
			ctx, cancel := context.WithCancel(t.Context())
			var others sync.WaitGroup
			if tt.gone {
				others.Go(func() { s.nameGoneUpstreams(ctx, runners) })
			}
			if tt.refusals > 0 {
				others.Go(func() { s.refuseOften(ctx, tt.refusals) })
			}
			c := s.sendOnce(instances)
			cancel()
			others.Wait()
			copied := 0
			for _, r := range runners {
				copied += r.Copied()
			}
			t.Logf("%d attempts, %d answered, %d copies; twice %d, promised %d, lost %d",
				c.attempts, c.answered, copied, len(c.twice), len(c.promised), len(c.lost))
			must.Positive(t, copied)
			test.SliceEmpty(t, c.twice)
			test.SliceEmpty(t, c.promised)
			test.SliceEmpty(t, c.lost)
		})
	}
}

// nameGoneUpstreams writes entries of upstreams that are gone with the addresses of those that live, until ctx ends.
func (s *testCluster) nameGoneUpstreams(ctx context.Context, live []*snipestand.Runner) {
	for n := range goneUpstreams {
		r := live[n%len(live)]
		gone := &snipestand.Runner{ID: fmt.Sprint("gone", n), Service: r.Service, Model: r.Model, Address: r.Address}
		if err := gone.SendHeartbeat(s.store); err != nil {
			s.t.Error(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(copyLength / goneUpstreams):
		}
	}
}

// refuseOften makes upstreams refuse some attempts in a row, ten times a second until ctx ends.
func (s *testCluster) refuseOften(ctx context.Context, attempts int) {
	for ctx.Err() == nil {
		s.faults.Set(snipestand.RunnerRefuses, attempts)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// sendOnce sends requests that must run once. Callers repeat what was promised not to have run.
func (s *testCluster) sendOnce(instances []*instance) *copyCount {
	c := &copyCount{}
	attempts := make([][]onceAttempt, copyRequests)
	var callers sync.WaitGroup
	for n := range copyRequests {
		callers.Go(func() { attempts[n] = s.sendUntilServed(instances, n) })
		time.Sleep(copyLength / copyRequests)
	}
	callers.Wait()
	time.Sleep(100 * time.Millisecond) // what runs late has run
	for n, all := range attempts {
		c.add(s, onceRequests[n%len(onceRequests)].target, all)
	}
	return c
}

// onceAttempt is an attempt of a caller, and its answer.
type onceAttempt struct {
	id    string
	reply reply
}

// sendUntilServed sends the n-th request, and again at random instances while its caller may.
func (s *testCluster) sendUntilServed(instances []*instance, n int) []onceAttempt {
	var all []onceAttempt
	kind := onceRequests[n%len(onceRequests)]
	for len(all) < copyAttempts {
		i := instances[rand.IntN(len(instances))]
		a, id := send(s.t, i.url, http.MethodPost, kind.target, "text", kind.header...)
		all = append(all, onceAttempt{id, a})
		if a.err != nil || !slices.Contains(promises, a.status) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return all
}

// add counts the attempts for one request.
func (c *copyCount) add(s *testCluster, target string, attempts []onceAttempt) {
	sum := 0
	for _, a := range attempts {
		ran := s.total(a.id)
		sum += ran
		c.attempts++
		what := fmt.Sprint(target, " ", a.id, ": ", a.reply.status, " ", a.reply.err, " ", a.reply.body)
		served := a.reply.err == nil && a.reply.status == http.StatusOK
		if served {
			c.answered++
		}
		switch {
		case ran > 0 && a.reply.err == nil && slices.Contains(promises, a.reply.status):
			c.promised = append(c.promised, what)
		case ran > 0 && !served:
			c.lost = append(c.lost, what)
		}
	}
	if sum > 1 {
		c.twice = append(c.twice, fmt.Sprint(target, " ", attempts))
	}
}
