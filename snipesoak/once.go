package snipesoak

import (
	"context"
	random "math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// maxCallerAttempts bounds the attempts of a caller for one request that must run once.
	maxCallerAttempts = 3
	// handoverTime is how long an engine may still work on a stream that goes on at another one.
	handoverTime = 400 * time.Millisecond
	// minSilence is the least length of a silence, of which the kernel's timeouts notice the longer ones.
	minSilence = 1500 * time.Millisecond
	// silentEvents and silentInterval make streams that last longer than the kernel's timeouts.
	silentEvents   = 34
	silentInterval = 100 * time.Millisecond
)

// promises are the statuses by which an instance promises that a request has not run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// silenceFault makes the network of an upstream drop all packets.
var silenceFault = fault{"an upstream is silent", silenceUpstream}

func silenceUpstream(s *Soak, r *random.Rand, d time.Duration) string {
	n := r.IntN(len(s.runners))
	link := s.cutter.Links[s.Instances+n].Listen
	defer s.disturb(s.runners[n].ID)()
	if err := s.cutter.Cut(link, snipestand.CutSilent); err != nil {
		s.breach("the soak itself", "silence: %v", err)
	}
	time.Sleep(minSilence + d/4)
	if err := s.cutter.Cut(link, snipestand.CutNone); err != nil {
		s.breach("the soak itself", "mend: %v", err)
	}
	return s.runners[n].ID
}

func (s *Soak) silencesUpstreams() bool { return rangeOf(s.Seed).silent }

// callerRequest is a request of a caller, for which it may make several attempts.
type callerRequest struct {
	id   string
	kind requestKind
	// grant is what the request uses of what operators add and take away; nil for none.
	grant *grant
}

// mayRepeat reports whether a caller may repeat a request that must run once after an answer, or an error without one: it
// was promised that the request has not run, or the connection was reset before a byte of an answer, which shows that the
// instance has not read the request.
func mayRepeat(answer *http.Response, err error) bool {
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
	}
	return slices.Contains(promises, answer.StatusCode)
}

// send sends a request, checks its answer and reports whether it was served, that is answered in full with status 200. A
// request that must run once is repeated at other instances while its caller may do so.
func (s *Soak) send(ctx context.Context, i *instance, k requestKind, r *random.Rand, unknownKey bool, g *grant) bool {
	q := callerRequest{id: newID(), kind: k, grant: g}
	if g != nil && g.prefix != "" {
		q.kind, k = g.kind, g.kind
	}
	served, again := s.sendAttempt(ctx, i, q, q.id, r, unknownKey)
	for n := 1; n < maxCallerAttempts && again && k.once && !unknownKey && ctx.Err() == nil; n++ {
		targets := *s.targets.Load()
		served, again = s.sendAttempt(ctx, targets[r.IntN(len(targets))], q, newID(), r, unknownKey)
	}
	return served
}

// auditRuns checks that each request that must run once did so at most, over all attempts of its caller and whether it was
// answered or not, and that no stream went on at an engine while an earlier one still worked on it.
func (s *Soak) auditRuns() {
	ran := make(map[callerRequest]int)
	runs := make(map[string][]snipestand.Run)
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			if q, known := s.requests[run.Request]; known {
				ran[q]++
			}
		}
	}
	for q, n := range ran {
		if q.kind.once && n > 1 {
			s.breach("at most once", "%s %s ran %d times over its attempts", q.kind, q.id, n)
		}
	}
	for id, all := range runs {
		slices.SortFunc(all, func(a, b snipestand.Run) int { return a.Begun.Compare(b.Begun) })
		for n := 1; n < len(all); n++ {
			if worksOn(all[:n], all[n]) {
				s.breach("a stream goes on after its last run", "%s: %v", id, all)
			}
		}
	}
}

// worksOn reports whether an engine still works on a stream some time after it went on at another one.
func worksOn(earlier []snipestand.Run, later snipestand.Run) bool {
	if later.After == 0 {
		return false
	}
	return slices.ContainsFunc(earlier, func(r snipestand.Run) bool {
		return r.Ended.IsZero() || r.Ended.After(later.Begun.Add(handoverTime))
	})
}
