package snipegateway

import (
	"context"
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipequarantine"
)

// Crashes observes which requests crash upstreams, and holds which are refused for it. The zero value
// observes and refuses nothing.
type Crashes struct {
	// Broke is called for an answer that broke off or never began after the request was sent. It does
	// not block, and finds out whether the upstream has ended. parts are those of the request's prompt if the
	// answer had not begun.
	Broke func(u *snipedirectory.Upstream, f snipequarantine.Fingerprint, request string, sentAt time.Time, parts []snipequarantine.Fingerprint)
	// Waiting reports whether any broken answer waits for the finding; only then are Lives and Answered
	// called for requests of fingerprints that are no suspects.
	Waiting func() bool
	// Lives is called when an upstream begins to answer.
	Lives func(id string)
	// Replaced is called if another upstream has answered at the address of an upstream.
	Replaced func(u *snipedirectory.Upstream)
	// Suspects are the fingerprints that are watched or refused.
	Suspects *snipequarantine.Suspects
	// Answered is called if a request was answered.
	Answered func(f snipequarantine.Fingerprint)
	// Refused is called for each request that is refused.
	Refused func()
	// Parts are the parts of prompts that are watched or refused. PartsAnswered is called with the parts of a
	// request's prompt, sent at the given time, whose upstream goes on after the beginning of its answer.
	Parts         *snipequarantine.Suspects
	PartsAnswered func(parts []snipequarantine.Fingerprint, sentAt time.Time)
}

// provenEvents is the number of events of an answer from which on the upstream has not ended because it began to
// write the answer: it may have ended after the first.
const provenEvents = 2

// partKeys returns the fingerprints of the parts of the request's prompt, without the last part, which is its own.
// They are computed at the first call, since few requests need them.
func (c *call) partKeys() []snipequarantine.Fingerprint {
	if c.parts == nil && len(c.Parts) > 1 {
		n := min(len(c.Parts)-1, snipequarantine.MaxParts)
		c.parts = c.gateway.partKeys.Of(n, func(n int) string { return c.Parts[n].ID })
	}
	return c.parts
}

// refusedPart returns the part of the request's prompt that is refused, and the time until its release.
func (c *call) refusedPart() (key snipequarantine.Fingerprint, left time.Duration, refused bool) {
	parts := c.gateway.Crashes.Parts
	if parts == nil || parts.Empty() {
		return key, 0, false
	}
	return parts.FirstRefused(c.partKeys())
}

// notePartsAnswered reports, once for each attempt, that the upstream goes on after the beginning of its answer.
func (c *call) notePartsAnswered() {
	answered := c.gateway.Crashes.PartsAnswered
	if c.partsProven || c.peer.IsValid() || answered == nil || len(c.partKeys()) == 0 {
		return
	}
	c.partsProven = true
	answered(c.partKeys(), c.sentAt)
}

// fingerprint returns the fingerprint of the request: a hash of its workspace, method, host, target,
// adapter and body. It is computed at the first call, since few requests need it.
func (c *call) fingerprint() snipequarantine.Fingerprint {
	if c.digest == nil {
		f := snipequarantine.NewFingerprint(c.body,
			c.workspaceName(), c.request.Method, c.request.Host, c.request.RequestURI, c.Adapter.Model, c.Adapter.Name)
		c.digest = &f
	}
	return *c.digest
}

// noteBroken reports that the answer of the last upstream broke off or never began. It reports nothing
// if ctx has ended, because the end of ctx may have caused it.
func (c *call) noteBroken(ctx context.Context) {
	broke := c.gateway.Crashes.Broke
	if broke == nil || ctx.Err() != nil {
		return
	}
	var parts []snipequarantine.Fingerprint
	if c.events < provenEvents {
		parts = c.partKeys()
	}
	broke(c.upstream, c.fingerprint(), c.ID, c.sentAt, parts)
}

// noteReplaced reports that another upstream has answered at the address of the last upstream.
func (c *call) noteReplaced() {
	if replaced := c.gateway.Crashes.Replaced; replaced != nil {
		replaced(c.upstream)
	}
}

// suspect reports whether the request has the fingerprint of a suspect.
func (c *call) suspect() bool {
	s := c.gateway.Crashes.Suspects
	return s != nil && !s.Empty() && s.Known(c.fingerprint())
}

// brokenWait reports whether any broken answer waits for the finding whether its upstream has ended.
func (c *call) brokenWait() bool {
	waiting := c.gateway.Crashes.Waiting
	return waiting != nil && waiting()
}

// noteLives reports that the last upstream has begun to answer, if any broken answer waits.
func (c *call) noteLives() {
	if c.brokenWait() {
		c.gateway.Crashes.Lives(c.upstream.ID)
	}
}

// noteAnswered reports that the request was answered, if it is a suspect or any broken answer waits. A
// status of 500 or above is no evidence that an upstream can run the request.
func (c *call) noteAnswered() {
	if !c.peer.IsValid() && c.status < http.StatusInternalServerError && (c.suspect() || c.brokenWait()) {
		c.gateway.Crashes.Answered(c.fingerprint())
	}
	if c.status < http.StatusInternalServerError {
		c.notePartsAnswered()
	}
}

// checkQuarantine returns an error if requests of this fingerprint, or with a part of the prompt, are refused because
// they crash upstreams. It is called before an upstream is chosen, and again right before each attempt, since the
// request may have waited.
func (c *call) checkQuarantine() error {
	if key, left, refused := c.refusedPart(); refused {
		c.blamedPart = &key
		c.gateway.Crashes.Refused()
		return snipeerror.New(snipeerror.ErrQuarantined, c.outcome(), "requests with a part of this prompt crash upstreams").After(left)
	}
	if !c.suspect() {
		return nil
	}
	left, refused := c.gateway.Crashes.Suspects.Refused(c.fingerprint())
	if !refused {
		return nil
	}
	c.gateway.Crashes.Refused()
	return snipeerror.New(snipeerror.ErrQuarantined, c.outcome(), "requests like this one crash upstreams").After(left)
}
