package snipequarantine

import (
	"time"
)

// The methods below are about parts of prompts; see PartLedger.

// PartsCrashed records that an upstream ended before it had begun to answer a request of this instance. text is the
// request's fingerprint, keys are the parts of its prompt. Step reports it.
func (e *Exchange) PartsCrashed(upstream string, text Fingerprint, keys []Fingerprint) {
	c := PartCrash{Upstream: upstream, Text: text}
	for _, key := range keys {
		c.Parts = append(c.Parts, PartMark{key, e.Parts.round(key)})
	}
	e.add(&evidence{part: true, partCrash: c, observedAt: time.Now()})
}

// PartsAnswered records that an upstream has begun to answer a request which was sent at the given time, and has gone
// on. Step reports it of the parts that were watched then.
func (e *Exchange) PartsAnswered(keys []Fingerprint, sentAt time.Time) {
	e.history.Add(keys)
	if e.Parts.Empty() {
		return
	}
	e.addAnswer(partsKey, true)
	for _, key := range keys {
		if since, ok := e.Parts.knownSince(key); ok && sentAt.After(since) {
			e.addAnswer(key, true)
		}
	}
}

// noteWatched reports a part that is watched from now on if requests with it were answered here before.
func (e *Exchange) noteWatched(s Suspect) {
	if !s.Part || s.Refused || s.Left <= 0 || !e.history.Has(s.Fingerprint) {
		return
	}
	c := UpstreamCrash{Fingerprint: s.Fingerprint, Round: s.Round}
	e.add(&evidence{UpstreamCrash: c, part: true, known: true, observedAt: time.Now()})
}

// handleParts records what an instance has observed of parts of prompts.
func (e *Exchange) handleParts(r Report) {
	for _, c := range r.PartCrashes {
		for _, m := range c.Parts {
			e.startRound(m.Key, m.Round, true)
			if _, refused := e.Parts.Refused(m.Key); !refused && m.Round == e.Parts.round(m.Key) {
				e.parts.Record(m.Key, c)
			}
		}
	}
	for _, a := range r.PartsKnown {
		if a.Round == e.Parts.round(a.Fingerprint) {
			e.parts.NoteKnown(a.Fingerprint)
		}
	}
	for _, a := range r.PartAnswers {
		if a.Fingerprint == partsKey {
			e.parts.NoteAnswered()
			continue
		}
		e.startRound(a.Fingerprint, a.Round, true)
		e.clear(a.Fingerprint, true)
	}
}
