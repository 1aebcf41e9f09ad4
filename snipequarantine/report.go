package snipequarantine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrUnsupported is returned by Exchange.Report and Exchange.Announce for a member that does not serve
// these messages, since it runs an older version.
var ErrUnsupported = errors.New("the instance does not take part")

// Report is what an instance has observed of the fingerprints that the receiver coordinates.
type Report struct {
	Crashes []UpstreamCrash
	Answers []Answer
	// PartCrashes and PartAnswers are about parts of prompts. PartsKnown are watched parts that were answered before
	// the crashes.
	PartCrashes []PartCrash
	PartAnswers []Answer
	PartsKnown  []Answer
}

// Answer reports that a request of a fingerprint was answered.
type Answer struct {
	Fingerprint Fingerprint
	// Round is the round of the fingerprint as the reporting instance knows it.
	Round uint64
}

// evidence is an observation of this instance and the members that have received it.
type evidence struct {
	UpstreamCrash
	answered bool
	// part is set if it is about parts of prompts, known if one was answered before the crashes, and partCrash if it
	// is a crash of some; an answer has the PartKey as its Fingerprint.
	part, known bool
	partCrash   PartCrash
	observedAt  time.Time
	receivedBy  []string
}

// target returns the fingerprint whose coordinators receive the evidence.
func (v *evidence) target() Fingerprint {
	if v.part {
		return partsKey
	}
	return v.Fingerprint
}

// expired reports whether the evidence is no longer reported. That any request was answered counts for the moment
// only.
func (v *evidence) expired(now time.Time) bool {
	kept := evidenceTime
	if v.Fingerprint == partsKey {
		kept = time.Second
	}
	return now.Sub(v.observedAt) >= kept
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
	e.evidence = slices.DeleteFunc(e.evidence, func(v *evidence) bool { return v.expired(now) })
	if len(e.evidence) == 0 {
		return nil
	}
	failed := func(m Member) bool { return now.Before(e.failedUntil[m.ID]) }
	reachable := slices.DeleteFunc(slices.Clone(e.Candidates()), failed)
	reports, parts := make(map[string][]*evidence), make(map[string]int)
	for _, v := range e.evidence {
		for _, m := range Coordinators(v.target(), reachable) {
			full := len(reports[m.ID]) >= maxMessageEntries || parts[m.ID] > 0 && parts[m.ID]+len(v.partCrash.Parts) > MaxReportParts
			if !full && !slices.Contains(v.receivedBy, m.ID) {
				reports[m.ID] = append(reports[m.ID], v)
				parts[m.ID] += len(v.partCrash.Parts)
			}
		}
	}
	return reports
}

// newReport returns the message for evidence.
func newReport(all []*evidence) Report {
	var r Report
	for _, v := range all {
		answer := Answer{v.Fingerprint, v.Round}
		switch {
		case v.known:
			r.PartsKnown = append(r.PartsKnown, answer)
		case v.part && v.answered:
			r.PartAnswers = append(r.PartAnswers, answer)
		case v.part:
			r.PartCrashes = append(r.PartCrashes, v.partCrash)
		case v.answered:
			r.Answers = append(r.Answers, answer)
		default:
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
