package snipequarantine

import (
	"slices"
	"time"
)

// The methods below are about parts of prompts; see PartLedger.

// PartsCrashed records that an upstream ended before it had begun to answer a request of this instance. text is the
// request's fingerprint, keys are the parts of its prompt. Step reports it.
func (e *Exchange) PartsCrashed(upstream string, text Fingerprint, keys []Fingerprint) {
	c := PartCrash{Upstream: upstream, Text: text, Parts: e.Parts.marks(keys)}
	e.history.MarkKnown(c.Parts)
	e.add(&evidence{part: true, partCrash: c, observedAt: time.Now()})
	e.boundParts()
}

// boundParts drops observations until those that are kept have maxKeptParts parts at most: first those that both
// coordinators have received, which serve only others that become coordinators, then the oldest.
func (e *Exchange) boundParts() {
	e.lock.Lock()
	defer e.lock.Unlock()
	over := -maxKeptParts
	for _, v := range e.evidence {
		over += len(v.partCrash.Parts)
	}
	for _, enough := range []int{maxCoordinators, 0} {
		e.evidence = slices.DeleteFunc(e.evidence, func(v *evidence) bool {
			drop := over > 0 && len(v.partCrash.Parts) > 0 && len(v.receivedBy) >= enough
			if drop {
				over -= len(v.partCrash.Parts)
			}
			return drop
		})
	}
}

// PartsAnswered records that an upstream has begun to answer a request which was sent at the given time, and has gone
// on. Step reports it of the parts that were watched then.
func (e *Exchange) PartsAnswered(keys []Fingerprint, sentAt time.Time) {
	e.history.Add(keys)
	if e.Parts.Empty() {
		return
	}
	e.addAnswer(partsKey, true)
	for _, key := range e.Parts.knownBefore(keys, sentAt) {
		e.addAnswer(key, true)
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
				if m.Known {
					e.parts.NoteKnown(m.Key)
				}
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
