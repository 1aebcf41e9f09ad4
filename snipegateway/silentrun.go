package snipegateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelink"
)

// maxSilentRuns bounds the requests in silentRuns. One upstream has some hundred requests at a time.
const maxSilentRuns = 4096

// silentRuns holds the requests of other instances that upstreams may still work on, because the upstream was silent and
// may not have learned that the connection has ended. The other instance learns only that the answer has broken off. The
// zero value is ready to use. It is safe for concurrent use.
type silentRuns struct {
	lock sync.Mutex // guards the fields below
	// until holds the deadlines of the requests, by their identifiers. After it, no upstream works on them.
	until map[string]time.Time
	// unknownUntil is until when any request may be one that was not added for want of room.
	unknownUntil time.Time
}

// add records a request with its deadline.
func (s *silentRuns) add(id string, deadline time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	for old, until := range s.until {
		if !now.Before(until) {
			delete(s.until, old)
		}
	}
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	if len(s.until) >= maxSilentRuns {
		if deadline.After(s.unknownUntil) {
			s.unknownUntil = deadline
		}
		return
	}
	s.until[id] = deadline
}

// mayRun reports whether an upstream may still work on a request.
func (s *silentRuns) mayRun(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	return now.Before(s.until[id]) || now.Before(s.unknownUntil)
}

// resetWait is how long a request waits until an upstream that was silent has lost its connection, before it is sent to another
// upstream. A silence that has just ended passes meanwhile; an upstream that is dead is not waited for.
const resetWait = 500 * time.Millisecond

// noteSilence records that an attempt, which ended with err, may still run if its upstream was silent. A request that may be
// sent again waits until the upstream is known to have lost the connection, for resetWait at most.
func (c *call) noteSilence(ctx context.Context, err error) {
	if !errors.Is(err, snipelink.ErrSilent) {
		return
	}
	if c.hop != nil {
		c.gateway.silentRuns.add(c.ID, c.deadline)
	}
	c.mayStillRun = true
	c.reset = c.route.MayRepeat() && !c.answerStarted && snipelink.WaitReset(ctx, err, resetWait)
}

// stillRuns reports whether the upstream of the last attempt may still work on the request, so that no other upstream may go on
// with it. A stream that has begun is left to its caller. Before that, the upstream is made to end its work as soon as it can be
// reached; one that only a peer reaches is not.
func (c *call) stillRuns() bool {
	if !c.mayStillRun {
		return false
	}
	return c.answerStarted || c.peer.IsValid() && c.route.Resumable && !c.reset
}

// checkSilentRuns refuses a stream that another instance resumes here while the upstream of an earlier attempt, which
// was made here too, may still work on it.
func (c *call) checkSilentRuns() error {
	if c.hop == nil || c.lastEvent == "" || !c.gateway.silentRuns.mayRun(c.ID) {
		return nil
	}
	return notResumableError("the upstream of an earlier attempt may still work on the stream")
}
