package snipegateway

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeerror"
)

// An upstream refuses a request that is larger than its memory as if it were full. Such a request is refused everywhere,
// and its refusals say nothing about the room for others: it is not sent on, and requests of its size are refused at once
// for a while.

const (
	// minSizesServed is the number of requests that must have been served before a refused one counts as too large.
	minSizesServed = 64
	// sizeMemory is how long the sizes of served requests count.
	sizeMemory = time.Minute
	// oversizeTime is how long requests of a size that was refused oversizeRefusals times are refused at once.
	oversizeTime, oversizeRefusals = 30 * time.Second, 2
)

// oversizes tracks the sizes of requests by service. It is safe for concurrent use.
type oversizes struct {
	lock     sync.Mutex // guards services
	services map[string]*serviceSizes
}

// serviceSizes holds what the requests of one service show about the sizes that its upstreams have memory for.
type serviceSizes struct {
	// served counts the requests that were served since, and largest is the largest of them. earlier is the largest
	// one of the sizeMemory before.
	served           int
	largest, earlier int
	since            time.Time
	// refused is the smallest size that was refused although larger ones than all served, refusals the number of such
	// refusals, and until the end of the time for which they count.
	refused, refusals int
	until             time.Time
}

// service returns the sizes of a service. The lock is held.
func (o *oversizes) service(name string) *serviceSizes {
	if o.services == nil {
		o.services = make(map[string]*serviceSizes)
	}
	if o.services[name] == nil {
		o.services[name] = &serviceSizes{since: time.Now()}
	}
	return o.services[name]
}

// noteServed records that a request of so many tokens, zero if it stated none, was served.
func (o *oversizes) noteServed(service string, tokens int) {
	o.lock.Lock()
	defer o.lock.Unlock()
	s, now := o.service(service), time.Now()
	if now.Sub(s.since) >= sizeMemory {
		s.earlier, s.largest, s.since = s.largest, 0, now
	}
	s.served++
	s.largest = max(s.largest, tokens)
	if tokens >= s.refused {
		s.refusals = 0
	}
}

// noteRefused records that a request was refused as if the upstream were full, and reports whether that is because of its
// size: it is larger than all that were served.
func (o *oversizes) noteRefused(service string, tokens int) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	s, now := o.service(service), time.Now()
	if s.served < minSizesServed || tokens <= max(s.largest, s.earlier) {
		return false
	}
	if s.refusals == 0 || !now.Before(s.until) {
		s.refused, s.refusals = tokens, 0
	}
	s.refused, s.refusals, s.until = min(s.refused, tokens), s.refusals+1, now.Add(oversizeTime)
	return true
}

// refuses reports whether a request of so many tokens is refused at once, and for how long.
func (o *oversizes) refuses(service string, tokens int) (time.Duration, bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	s := o.services[service]
	if s == nil || tokens == 0 || s.refusals < oversizeRefusals || tokens < s.refused {
		return 0, false
	}
	left := time.Until(s.until)
	return left, left > 0
}

// tokens returns the size that the request states.
func (c *call) tokens() int { return c.PromptTokens + c.OutputTokens }

// checkSize returns an error if no upstream of the service has memory for the request.
func (c *call) checkSize() error {
	const reason = "the request is larger than the memory of the upstreams"
	if limit := c.gateway.Chooser.memoryTokens(c.service); limit > 0 && c.PromptTokens > limit {
		return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), reason).After(oversizeTime)
	}
	if left, refused := c.gateway.oversizes.refuses(c.service, c.tokens()); refused {
		return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), reason).After(left)
	}
	return nil
}

// noteSizeServed records that the request's size was no reason to refuse it.
func (c *call) noteSizeServed() { c.gateway.oversizes.noteServed(c.service, c.tokens()) }

// refusedForSize reports whether a brittle upstream refused the request for its size: by its own word it had room, or the
// request is larger than all that were served. Other upstreams bear refusals.
func (c *call) refusedForSize(v AnswerState) bool {
	if v.Elsewhere || v.Missing || v.Signal.Backoff > 0 || !c.brittle() {
		return false
	}
	larger := c.gateway.oversizes.noteRefused(c.service, c.tokens())
	return larger || c.tokens() > 0 && v.Load != nil && v.Load.Slots > 0 && v.Load.Running < v.Load.Slots && v.Load.Waiting == 0 && c.admission.permit != nil
}
