package snipequarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// Fractions of Exchange.SpreadTime. A crash is known to its coordinators and a decision to all
	// instances within a few messages, so that most of the time is left to watch a fingerprint.
	observeDivisor = 3
	messageDivisor = 10
	retryDivisor   = 8
	roundDivisor   = 8

	isolationTimeDivisor = 4

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

// ErrUnsupported is returned by Exchange.Report and Exchange.Announce for a member that does not serve
// these messages, since it runs an older version.
var ErrUnsupported = errors.New("the instance does not take part")

// Report is what an instance has observed of the fingerprints that the receiver coordinates.
type Report struct {
	Crashes []UpstreamCrash
	Answers []Answer
}

// Answer reports that a request of a fingerprint was answered.
type Answer struct {
	Fingerprint Fingerprint
	// Round is the round of the fingerprint as the reporting instance knows it.
	Round uint64
}

// Source is where a decision about a fingerprint came from.
type Source string

// Sources of a decision.
const (
	// Own is this instance as a coordinator.
	Own Source = "Own"
	// Other is another instance.
	Other Source = "Instance"
	// Stored is the store, read at the start.
	Stored Source = "Store"
	// Timer is the end of a decision's time.
	Timer Source = "Time"
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
	// Suspects holds the decisions that this instance knows.
	Suspects Suspects

	ledger        Ledger
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

// evidence is an observation and the members that have received it.
type evidence struct {
	UpstreamCrash
	answered   bool
	observedAt time.Time
	receivedBy []string
}

func (e *Exchange) setUp() {
	e.initialize.Do(func() { e.ledger.ObserveTime = e.SpreadTime / observeDivisor })
}

// Crashed records that an upstream ended while it ran a request of this instance. Step reports it.
func (e *Exchange) Crashed(upstream string, f Fingerprint) {
	c := UpstreamCrash{Fingerprint: f, Upstream: upstream, Round: e.Suspects.Round(f)}
	e.add(&evidence{UpstreamCrash: c, observedAt: time.Now()})
}

// Answered records that a request of a fingerprint was answered. Step reports it if the fingerprint
// is a suspect.
func (e *Exchange) Answered(f Fingerprint) {
	if !e.Suspects.Known(f) {
		return
	}
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
	e.add(&evidence{UpstreamCrash: UpstreamCrash{Fingerprint: f, Round: e.Suspects.Round(f)}, answered: true, observedAt: now})
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
// their answers. It is to be called every SpreadTime/30 or more often.
func (e *Exchange) Step(ctx context.Context) {
	e.setUp()
	for _, s := range e.Suspects.Expire() {
		e.announcements.remove(s.Fingerprint)
		e.Changed(s.released(), Timer)
	}
	for _, s := range e.ledger.Decide() {
		e.decide(s)
	}
	if e.idle() {
		return
	}
	e.sendReports(ctx)
	if e.roundDue() {
		e.takeOver()
		e.sendAnnouncements(ctx)
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
	return len(e.evidence) == 0 && e.announcements.empty() && e.Suspects.Empty()
}

// decide records and announces a decision of this instance, in the current round if it is no release.
func (e *Exchange) decide(s Suspect) {
	if s.Left > 0 {
		s.Round = e.Suspects.Round(s.Fingerprint)
	}
	changed := e.Suspects.Apply(s)
	e.announcements.put(s)
	e.lock.Lock()
	e.nextRound = time.Time{}
	e.lock.Unlock()
	if changed {
		e.Changed(s, Own)
	}
}

// takeOver begins to announce the refusals of the fingerprints of which this instance has become a
// coordinator.
func (e *Exchange) takeOver() {
	refused := e.Suspects.ListRefused()
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
		return time.Since(v.observedAt) >= e.SpreadTime/isolationTimeDivisor && !slices.ContainsFunc(v.receivedBy, isOther)
	})
}

// sendReports sends each coordinator the evidence that it has not received.
func (e *Exchange) sendReports(ctx context.Context) {
	for member, all := range e.dueReports() {
		if member == e.Self {
			e.learn(e.HandleReport(newReport(all)))
			e.noteReceived(member, all)
			continue
		}
		e.send(ctx, member, func(ctx context.Context) error {
			decisions, err := e.Report(ctx, member, newReport(all))
			if err != nil {
				return err
			}
			e.noteReceived(member, all)
			e.learn(decisions)
			return nil
		})
	}
}

// dueReports returns the evidence to send, by coordinator, and forgets what is older than evidenceTime.
// Members that did not answer are passed over for a while, so that others coordinate.
func (e *Exchange) dueReports() map[string][]*evidence {
	now := time.Now()
	e.lock.Lock()
	defer e.lock.Unlock()
	e.evidence = slices.DeleteFunc(e.evidence, func(v *evidence) bool { return now.Sub(v.observedAt) >= evidenceTime })
	if len(e.evidence) == 0 {
		return nil
	}
	failed := func(m Member) bool { return now.Before(e.failedUntil[m.ID]) }
	reachable := slices.DeleteFunc(slices.Clone(e.Candidates()), failed)
	reports := make(map[string][]*evidence)
	for _, v := range e.evidence {
		for _, m := range Coordinators(v.Fingerprint, reachable) {
			if !slices.Contains(v.receivedBy, m.ID) && len(reports[m.ID]) < maxMessageEntries {
				reports[m.ID] = append(reports[m.ID], v)
			}
		}
	}
	return reports
}

// newReport returns the message for evidence.
func newReport(all []*evidence) Report {
	var r Report
	for _, v := range all {
		if v.answered {
			r.Answers = append(r.Answers, Answer{v.Fingerprint, v.Round})
		} else {
			r.Crashes = append(r.Crashes, v.UpstreamCrash)
		}
	}
	return r
}

// noteReceived records that a member has received evidence.
func (e *Exchange) noteReceived(member string, all []*evidence) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, v := range all {
		v.receivedBy = append(v.receivedBy, member)
	}
}

// sendAnnouncements sends each member the decisions that it has not confirmed.
func (e *Exchange) sendAnnouncements(ctx context.Context) {
	if e.announcements.empty() {
		return
	}
	others := slices.DeleteFunc(slices.Clone(e.Members()), func(m Member) bool { return m.ID == e.Self })
	for _, m := range others {
		decisions := e.announcements.due(m.ID)
		if len(decisions) == 0 {
			continue
		}
		decisions = decisions[:min(len(decisions), maxMessageEntries)]
		e.send(ctx, m.ID, func(ctx context.Context) error {
			if err := e.Announce(ctx, m.ID, decisions); err != nil {
				return err
			}
			e.announcements.confirm(m.ID, decisions)
			return nil
		})
	}
	e.announcements.forgetConfirmed(others)
}

// send sends a message to a member in the background, unless another one is in progress, the last
// one failed a short time ago, or maxSending messages are in progress.
func (e *Exchange) send(ctx context.Context, member string, message func(ctx context.Context) error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.sending) >= maxSending || e.sending[member] || time.Now().Before(e.failedUntil[member]) {
		return
	}
	if e.sending == nil {
		e.sending, e.failedUntil = make(map[string]bool), make(map[string]time.Time)
	}
	e.sending[member] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, e.SpreadTime/messageDivisor)
		defer cancel()
		e.noteSent(member, message(ctx))
	}()
}

// noteSent records the end of a message.
func (e *Exchange) noteSent(member string, err error) {
	now := time.Now()
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.sending, member)
	maps.DeleteFunc(e.failedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	switch {
	case errors.Is(err, ErrUnsupported):
		e.failedUntil[member] = now.Add(unsupportedPause)
	case err != nil:
		e.failedUntil[member] = now.Add(e.SpreadTime / retryDivisor)
	}
}

// HandleReport records what another instance, or this one, has observed, and returns the decisions
// about the reported fingerprints.
func (e *Exchange) HandleReport(r Report) []Suspect {
	e.setUp()
	for _, c := range r.Crashes {
		e.Suspects.Raise(c.Fingerprint, c.Round)
		if _, refused := e.Suspects.Refused(c.Fingerprint); !refused {
			e.ledger.Record(c)
		}
	}
	for _, a := range r.Answers {
		e.Suspects.Raise(a.Fingerprint, a.Round)
		e.clear(a.Fingerprint)
	}
	for _, s := range e.ledger.Decide() {
		e.decide(s)
	}
	var decisions []Suspect
	for _, c := range r.Crashes {
		if s, ok := e.Suspects.get(c.Fingerprint); ok {
			decisions = append(decisions, s)
		}
	}
	return decisions
}

// clear releases a fingerprint of which a request was answered.
func (e *Exchange) clear(f Fingerprint) {
	watched := e.ledger.Clear(f)
	s, known := e.Suspects.get(f)
	if !known && !watched {
		return
	}
	s.Fingerprint, s.Round, s.Left = f, e.Suspects.Round(f)+1, 0
	e.decide(s)
}

// HandleAnnouncement records decisions of another instance.
func (e *Exchange) HandleAnnouncement(decisions []Suspect) {
	for _, s := range decisions {
		e.apply(s, Other)
		switch {
		case s.Left <= 0:
			e.ledger.Clear(s.Fingerprint)
			e.announcements.remove(s.Fingerprint)
		case s.Refused:
			e.ledger.Explain(s)
		}
	}
}

// learn records the decisions in the answer to a report.
func (e *Exchange) learn(decisions []Suspect) {
	for _, s := range decisions {
		e.apply(s, Other)
	}
}

// Restore records a refusal that was read from the store.
func (e *Exchange) Restore(s Suspect) {
	e.apply(s, Stored)
	e.ledger.Explain(s)
}

func (e *Exchange) apply(s Suspect, source Source) {
	if e.Suspects.Apply(s) {
		e.Changed(s, source)
	}
}
