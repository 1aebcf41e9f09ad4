package snipequarantine

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// These divide Exchange.SpreadTime. They yield the time for which a fingerprint is watched before
	// it is refused, the timeout of a message, the pause after a message that failed, the time
	// between two rounds of announcements, and the age from which on evidence that no other member has
	// received shows that this one is isolated. A report and an announcement that are lost once each
	// fit in beside the watch.
	observeDivisor  = 3
	messageDivisor  = 10
	retryDivisor    = 8
	roundDivisor    = 8
	isolatedDivisor = 4

	// unsupportedPause is how long a member is sent nothing that does not serve these messages. The
	// next start of it is another member.
	unsupportedPause = time.Minute
	// evidenceTime is how long an instance keeps what it has reported, to report it again to members
	// that become coordinators.
	evidenceTime = time.Minute
	// maxEvidence bounds what an instance keeps to report, maxMessageEntries the entries of one
	// message.
	maxEvidence, maxMessageEntries = 4096, 512
	// maxSending bounds the messages in progress. An announcement goes to all instances at once.
	maxSending = 512
)

// Source is where a decision about a fingerprint came from.
type Source string

// Sources of a decision.
const (
	// SourceOwn is this instance as a coordinator.
	SourceOwn Source = "Own"
	// SourceInstance is another instance.
	SourceInstance Source = "Instance"
	// SourceStore is the store.
	SourceStore Source = "Store"
	// SourceTime is the end of a decision's time.
	SourceTime Source = "Time"
)

// Exchange shares among the entry instances which requests crash upstreams. Exported fields are set
// before the first call. It is safe for concurrent use.
//
// Design. No message is sent for a request that crashes nothing. An instance reports each crash, with
// the fingerprint of each request that broke off, to the two coordinators of the fingerprint (see
// Coordinators). Each of them counts in a Ledger. From the second crash on the fingerprint
// is announced to all instances, which then report when one of its requests is answered; that
// clears it. From the third crash on it is announced as refused. Announcements are repeated until each
// member has confirmed them, also members that start later. An instance that becomes a coordinator takes over
// the announcement of the refusals that it knows.
type Exchange struct {
	// Self is the Member.ID of this instance.
	Self string
	// Members returns all live instances. Candidates returns those that may coordinate. Both include
	// this instance if it is one of them.
	Members, Candidates func() []Member
	// Report and Announce send a message to a member. Report returns the member's decisions about
	// the reported fingerprints.
	Report   func(ctx context.Context, member string, r Report) ([]Suspect, error)
	Announce func(ctx context.Context, member string, decisions []Suspect) error
	// Changed is called for each change of a decision that this instance knows.
	Changed func(s Suspect, source Source)
	// SpreadTime is the time from the third crash until all instances refuse the fingerprint.
	SpreadTime time.Duration
	// Suspects holds the decisions about requests that this instance knows, Parts those about parts of prompts.
	Suspects, Parts Suspects

	history       PartHistory
	ledger        Ledger
	parts         PartLedger
	announcements announcements
	initialize    sync.Once

	lock     sync.Mutex // guards the fields below
	evidence []*evidence
	// answeredAt is when an answer was last reported for a fingerprint.
	answeredAt map[Fingerprint]time.Time
	// sending holds the members to which a message is in progress, failedUntil those whose last
	// message failed and until when they are passed over.
	sending     map[string]bool
	failedUntil map[string]time.Time
	// nextRound is when confirmed announcements are compared with the members again.
	nextRound time.Time
}

func (e *Exchange) setUp() {
	e.initialize.Do(func() {
		e.ledger.ObserveTime = e.SpreadTime / observeDivisor
		e.parts.ObserveTime, e.parts.HistoryCovers = e.ledger.ObserveTime, e.history.Covers
	})
}

// suspects returns the decisions about requests or about parts of prompts.
func (e *Exchange) suspects(part bool) *Suspects {
	if part {
		return &e.Parts
	}
	return &e.Suspects
}

// clearLedger removes what this instance has counted for a request or a part of prompts, and reports whether it was
// watched.
func (e *Exchange) clearLedger(f Fingerprint, part bool) (watched bool) {
	if part {
		return e.parts.Clear(f)
	}
	return e.ledger.Clear(f)
}

// Crashed records that an upstream ended while it ran a request of this instance. Step reports it.
func (e *Exchange) Crashed(upstream string, f Fingerprint) {
	c := UpstreamCrash{Fingerprint: f, Upstream: upstream, Round: e.Suspects.round(f)}
	e.add(&evidence{UpstreamCrash: c, observedAt: time.Now()})
}

// Answered records that a request of a fingerprint was answered. Step reports it if the fingerprint
// is a suspect.
func (e *Exchange) Answered(f Fingerprint) {
	if !e.Suspects.Known(f) {
		return
	}
	e.addAnswer(f, false)
}

// addAnswer adds evidence of an answer, unless some was added a short time ago.
func (e *Exchange) addAnswer(f Fingerprint, part bool) {
	now := time.Now()
	e.lock.Lock()
	last, ok := e.answeredAt[f]
	if ok && now.Sub(last) < e.SpreadTime/messageDivisor {
		e.lock.Unlock()
		return
	}
	if e.answeredAt == nil || len(e.answeredAt) >= maxEvidence {
		e.answeredAt = make(map[Fingerprint]time.Time)
	}
	e.answeredAt[f] = now
	e.lock.Unlock()
	round := e.suspects(part).round(f)
	e.add(&evidence{UpstreamCrash: UpstreamCrash{Fingerprint: f, Round: round}, answered: true, part: part, observedAt: now})
}

// add adds evidence, and drops the oldest beyond maxEvidence.
func (e *Exchange) add(v *evidence) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.evidence) >= maxEvidence {
		e.evidence = e.evidence[1:]
	}
	e.evidence = append(e.evidence, v)
}

// Step decides as a coordinator, and begins to send the messages that are due. It does not wait for
// their answers. It is to be called at intervals that are short compared with SpreadTime.
func (e *Exchange) Step(ctx context.Context) {
	e.setUp()
	for _, s := range slices.Concat(e.Suspects.expire(), e.Parts.expire()) {
		e.announcements.remove(s.Fingerprint)
		e.Changed(s.released(), SourceTime)
	}
	e.decideAll()
	if e.idle() {
		return
	}
	e.sendReports(ctx)
	if e.roundDue() {
		e.takeOver()
		e.sendAnnouncements(ctx)
	}
}

// decideAll decides as a coordinator. A part that is refused explains crashes of requests.
func (e *Exchange) decideAll() {
	for _, s := range e.parts.Decide() {
		e.decide(s)
	}
	for _, s := range e.ledger.Decide() {
		e.decide(s)
	}
}

// roundDue reports whether a round of announcements is due, and sets the time of the next one.
func (e *Exchange) roundDue() bool {
	now := time.Now()
	e.lock.Lock()
	defer e.lock.Unlock()
	if now.Before(e.nextRound) {
		return false
	}
	e.nextRound = now.Add(e.SpreadTime / roundDivisor)
	return true
}

// released returns the decision that releases the fingerprint of s.
func (s Suspect) released() Suspect {
	s.Left = 0
	return s
}

// idle reports whether there is nothing to send and no refusal to take over.
func (e *Exchange) idle() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return len(e.evidence) == 0 && e.announcements.empty() && e.Suspects.Empty() && e.Parts.Empty()
}

// decide records and announces a decision of this instance, in the current round if it is no release.
func (e *Exchange) decide(s Suspect) {
	suspects := e.suspects(s.Part)
	if s.Left > 0 {
		s.Round = suspects.round(s.Fingerprint)
	}
	changed := suspects.Apply(s)
	if changed {
		e.noteWatched(s)
	}
	e.announcements.put(s)
	if s.Refused && s.Left > 0 {
		e.explain(s)
	}
	e.lock.Lock()
	e.nextRound = time.Time{}
	e.lock.Unlock()
	if changed {
		e.Changed(s, SourceOwn)
	}
}

// takeOver begins to announce the refusals of the fingerprints of which this instance has become a
// coordinator.
func (e *Exchange) takeOver() {
	refused := slices.Concat(e.Suspects.listRefused(), e.Parts.listRefused())
	if len(refused) == 0 {
		return
	}
	candidates := e.Candidates()
	for _, s := range refused {
		if !e.announcements.has(s.Fingerprint) && e.isCoordinator(s.Fingerprint, candidates) {
			e.announcements.put(s)
		}
	}
}

// Coordinates reports whether this instance is a coordinator of a fingerprint.
func (e *Exchange) Coordinates(f Fingerprint) bool {
	return e.isCoordinator(f, e.Candidates())
}

func (e *Exchange) isCoordinator(f Fingerprint, candidates []Member) bool {
	return slices.ContainsFunc(Coordinators(f, candidates), func(m Member) bool { return m.ID == e.Self })
}

// Isolated reports whether this instance has observed a crash that no other instance has received for
// SpreadTime/4, so that decisions do not reach it either.
func (e *Exchange) Isolated() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	isOther := func(member string) bool { return member != e.Self }
	return slices.ContainsFunc(e.evidence, func(v *evidence) bool {
		return time.Since(v.observedAt) >= e.SpreadTime/isolatedDivisor && !slices.ContainsFunc(v.receivedBy, isOther)
	})
}

// HandleReport records what another instance, or this one, has observed, and returns the decisions
// about the reported fingerprints.
func (e *Exchange) HandleReport(r Report) []Suspect {
	e.setUp()
	for _, c := range r.Crashes {
		e.startRound(c.Fingerprint, c.Round, false)
		if _, refused := e.Suspects.Refused(c.Fingerprint); !refused && c.Round == e.Suspects.round(c.Fingerprint) {
			e.ledger.Record(c)
		}
	}
	for _, a := range r.Answers {
		e.startRound(a.Fingerprint, a.Round, false)
		e.clear(a.Fingerprint, false)
	}
	e.handleParts(r)
	e.decideAll()
	var decisions []Suspect
	for _, c := range r.Crashes {
		if s, ok := e.Suspects.get(c.Fingerprint); ok {
			decisions = append(decisions, s)
		}
	}
	return decisions
}

// startRound records that a round of a fingerprint has begun. If it is a new one, what was counted and decided
// in earlier rounds is void.
func (e *Exchange) startRound(f Fingerprint, round uint64, part bool) {
	suspects := e.suspects(part)
	if round <= suspects.round(f) {
		return
	}
	suspects.startRound(f, round)
	e.clearLedger(f, part)
	e.announcements.remove(f)
}

// clear releases a fingerprint of which a request was answered.
func (e *Exchange) clear(f Fingerprint, part bool) {
	watched := e.clearLedger(f, part)
	s, known := e.suspects(part).get(f)
	if !known && !watched {
		return
	}
	s.Fingerprint, s.Part, s.Round, s.Left = f, part, e.suspects(part).round(f)+1, 0
	e.decide(s)
}

// explain records the upstreams that a refused suspect has crashed. A request that was at three crashes of a part may be
// refused before the part is, so that it explains nothing about parts.
func (e *Exchange) explain(s Suspect) {
	if !s.Part {
		e.ledger.Explain(s)
		return
	}
	e.ledger.ExplainUpstreams(s.Upstreams)
	e.parts.Explain(s)
}

// HandleAnnouncement records decisions of another instance.
func (e *Exchange) HandleAnnouncement(decisions []Suspect) {
	for _, s := range decisions {
		newRound := s.Round > e.suspects(s.Part).round(s.Fingerprint)
		e.apply(s, SourceInstance)
		if newRound {
			e.clearLedger(s.Fingerprint, s.Part)
			e.announcements.remove(s.Fingerprint)
		}
		if s.Refused && s.Left > 0 {
			e.explain(s)
		}
	}
}

// learn records the decisions in the answer to a report.
func (e *Exchange) learn(decisions []Suspect) {
	for _, s := range decisions {
		e.apply(s, SourceInstance)
	}
}

// Restore records a refusal that was read from the store.
func (e *Exchange) Restore(s Suspect) {
	e.apply(s, SourceStore)
	e.explain(s)
}

func (e *Exchange) apply(s Suspect, source Source) {
	if e.suspects(s.Part).Apply(s) {
		e.noteWatched(s)
		e.Changed(s, source)
	}
}
