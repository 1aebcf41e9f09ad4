package snipegateway

import (
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

// noteSilence records that an attempt, which ended with err, may still run if its upstream was silent.
func (c *call) noteSilence(err error) {
	if !errors.Is(err, snipelink.ErrSilent) {
		return
	}
	c.mayStillRun = true
	if c.hop != nil {
		c.gateway.silentRuns.add(c.ID, c.deadline)
	}
}

// checkSilentRuns refuses a stream that another instance resumes here while the upstream of an earlier attempt, which
// was made here too, may still work on it.
func (c *call) checkSilentRuns() error {
	if c.hop == nil || c.lastEvent == "" || !c.gateway.silentRuns.mayRun(c.ID) {
		return nil
	}
	return notResumableError("the upstream of an earlier attempt may still work on the stream")
}
