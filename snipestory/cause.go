package snipestory

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestop"
)

// Kind identifies a kind of cause.
type Kind string

// Kinds of causes.
const (
	Unknown         Kind = "Unknown"
	None            Kind = "None"
	CallerLeft      Kind = "CallerLeft"
	RoutesUnknown   Kind = "RoutesUnknown"
	NoRoute         Kind = "NoRoute"
	KeyUnknown      Kind = "KeyUnknown"
	KeyTaken        Kind = "KeyTaken"
	CatalogOld      Kind = "CatalogOld"
	QuotaUsed       Kind = "QuotaUsed"
	PermitDenied    Kind = "PermitDenied"
	PermitWait      Kind = "PermitWait"
	NoOwner         Kind = "NoOwner"
	LoadsQueued     Kind = "LoadsQueued"
	AdapterEvicted  Kind = "AdapterEvicted"
	AdapterReplaced Kind = "AdapterReplaced"
	AdapterAbsent   Kind = "AdapterAbsent"
	UpstreamFull    Kind = "UpstreamFull"
	UpstreamClosed  Kind = "UpstreamClosed"
	UpstreamLost    Kind = "UpstreamLost"
	UpstreamBroke   Kind = "UpstreamBroke"
	UpstreamUnsure  Kind = "UpstreamUnsure"
	StopCut         Kind = "StopCut"
	DeadlinePassed  Kind = "DeadlinePassed"
	MemoryFull      Kind = "MemoryFull"
	Quarantined     Kind = "Quarantined"
	ReaderSlow      Kind = "ReaderSlow"
	AdapterWait     Kind = "AdapterWait"
	UpstreamWait    Kind = "UpstreamWait"
	Pause           Kind = "Pause"
)

// Cause is the reason for the outcome of a request.
type Cause struct {
	Kind Kind
	// Text describes the cause in a sentence, with the figures that support it.
	Text string
}

// failureWindow is the time before and after the end of a request in which other failures of the
// same upstream may be logged. Such failures can be logged late: an upstream that can be reached
// becomes suspect only after three requests in a row without an answer, and its entry in the registry
// expires only after the duration of its lease.
const failureWindow = 4 * time.Second

// evictionWindow is the time before the arrival of a request in which an eviction can explain that
// the engine did not hold the adapter. An older eviction is known to all instances and
// does not explain it.
const evictionWindow = 4 * time.Second

// budgetUsed is the value of Line.NotSentAgain for a request that the retry budget refused.
const budgetUsed = "Budget"

// explain returns the cause of the outcome of a request and the lines that support it.
func explain(s *Story) (Cause, []Line) {
	cause, lines := s.explainEnd()
	if s.End != nil && s.End.NotSentAgain == budgetUsed {
		cause.Text += "; the request was not sent again because the retry budget of service " + s.End.Service + " was used up"
		lines = append(s.withEvents(snipelog.RetrySlackChanged.Number), lines...)
	}
	if s.End != nil && s.End.Peer != "" {
		cause.Text += "; instance " + s.End.Instance + " did not reach service " + s.End.Service + " and passed the request on to " + s.End.Peer
		lines = append(lines, s.withEvents(snipelog.ServiceUnreached.Number, snipelog.HopEnded.Number)...)
	}
	if s.End != nil && s.End.Brittle && cause.Kind != None {
		cause.Text += fmt.Sprintf("; the upstreams of service %s crash when they refuse more than %d requests in a second", s.End.Service, s.End.MaxRefusals)
		lines = append(lines, s.withEvents(snipelog.ServiceBrittle.Number, snipelog.BrittleRefusal.Number)...)
	}
	cause.Text += s.resumptionClause()
	return cause, append(lines, s.Resumed...)
}

// resumptionClause returns a clause about the stream that the request resumes, and about the attempts that
// resume its own; empty if there are none.
func (s *Story) resumptionClause() string {
	var clause strings.Builder
	if s.End != nil && s.End.LastEvent != "" {
		first := s.End.Resumes
		if first == "" {
			first = "an attempt that it does not name"
		}
		fmt.Fprintf(&clause, "; the request resumes after event %s the stream of %s", s.End.LastEvent, first)
	}
	if s.End != nil && len(s.End.SoftwareTried) > 0 && (s.End.LastEvent != "" || len(s.End.Tried) > 1) {
		fmt.Fprintf(&clause, "; the upstreams tried ran the software %s", strings.Join(s.End.SoftwareTried, ", "))
	}
	for _, l := range s.Resumed {
		fmt.Fprintf(&clause, "; attempt %s resumed its stream at instance %s, with status %d", l.Request, l.Instance, l.Status)
	}
	return clause.String()
}

// explainEnd returns the cause of the outcome of a request by the line of its end.
func (s *Story) explainEnd() (Cause, []Line) {
	if s.End == nil {
		return Cause{Unknown, "no line reports the end of the request: the instance was killed, or the line was dropped"}, s.lifecycleLines()
	}
	switch s.End.Event {
	case snipelog.RequestEnded.Number:
		return s.explainAnswered()
	case snipelog.RequestAbandoned.Number:
		return Cause{CallerLeft, fmt.Sprintf("the caller disconnected after %d ms", s.End.Milliseconds)}, []Line{*s.End}
	case snipelog.RequestRefused.Number:
		return s.explainRefused()
	default:
		return s.explainFailed()
	}
}

// explainAnswered explains why a request was answered late or with too long a pause. The cause is
// None if it was answered in time.
func (s *Story) explainAnswered() (Cause, []Line) {
	e := s.End
	exceeds := func(ms, target int64) bool { return target > 0 && ms > target }
	switch {
	case exceeds(e.FirstMilliseconds, e.TargetMilliseconds) && 2*e.WaitedMilliseconds >= e.FirstMilliseconds:
		text := fmt.Sprintf("%d of the %d ms until the answer began were spent waiting for adapter %s",
			e.WaitedMilliseconds, e.FirstMilliseconds, e.Adapter)
		return Cause{AdapterWait, text}, s.loadLines()
	case exceeds(e.FirstMilliseconds, e.TargetMilliseconds) && 2*e.PermitMilliseconds >= e.FirstMilliseconds:
		text := fmt.Sprintf("%d of the %d ms until the answer began were spent waiting for a permit for service %s%s",
			e.PermitMilliseconds, e.FirstMilliseconds, e.Service, e.coordinatedBy())
		return Cause{PermitWait, text}, append(s.admissionLines(), *e)
	case exceeds(e.FirstMilliseconds, e.TargetMilliseconds):
		text := fmt.Sprintf("the answer began after %d ms, of which %d were spent waiting for the adapter; an estimated %.0f%% of the upstream's slots were in use",
			e.FirstMilliseconds, e.WaitedMilliseconds, 100*e.Busy)
		if e.Pace > 0 {
			text += fmt.Sprintf("; %d ms were expected there, at %.2f times the usual time for work, stated %d ms before",
				e.ExpectedMilliseconds, e.Pace, e.PaceAgeMilliseconds)
		}
		return Cause{UpstreamWait, text}, append(s.retries(), *e)
	case exceeds(e.PauseMilliseconds, e.PauseTargetMilliseconds):
		text := fmt.Sprintf("the answer paused for %d ms, the target is %d", e.PauseMilliseconds, e.PauseTargetMilliseconds)
		return Cause{Pause, text}, append(s.retries(), *e)
	default:
		return Cause{None, fmt.Sprintf("answered in time, with status %d", e.Status)}, []Line{*e}
	}
}

// explainAccess explains a refusal because of the key or the quota of a request, or because a newer
// catalog may allow it. It returns false for any other refusal.
func (e *Line) explainAccess() (Cause, bool) {
	contains := func(text string) bool { return strings.Contains(e.Error, text) }
	switch {
	case contains("no workspace has this key"), contains("no key"):
		return Cause{KeyUnknown, fmt.Sprintf("no workspace in catalog %d has the key of the request", e.Catalog)}, true
	case contains("the key was taken away"):
		return Cause{KeyTaken, fmt.Sprintf("the key of the request was in catalog %d and was removed while the request waited", e.Catalog)}, true
	case contains("may have changed since it was read"):
		return Cause{CatalogOld, fmt.Sprintf("nothing in catalog %d matches the request, and a newer catalog may be in force", e.Catalog)}, true
	case contains("quota is used up"):
		return Cause{QuotaUsed, fmt.Sprintf("the quota of workspace %s had fewer units left than the %.0f that the request needed", e.Workspace, e.Asked)}, true
	}
	return Cause{}, false
}

// explainRefused explains why a request was refused without being run.
func (s *Story) explainRefused() (Cause, []Line) {
	e := s.End
	end := []Line{*e}
	contains := func(text string) bool { return strings.Contains(e.Error, text) }
	if c, known := e.explainAccess(); known {
		return c, append(s.lifecycleLines(), *e)
	}
	switch {
	case contains(snipestop.ErrStopped.Error()):
		return s.explainStopped()
	case contains("no routes are known"):
		return Cause{RoutesUnknown, "the instance had not read any routes yet"}, append(s.lifecycleLines(), *e)
	case contains("no route for this host"):
		return Cause{NoRoute, "no declared route matches the host and path of the request"}, end
	case contains("holds as many bytes"):
		return Cause{MemoryFull, "the instance held as many bytes for requests as its memory allows"}, append(s.withEvents(snipelog.RefusedForMemory.Number), *e)
	case contains("crash upstreams"):
		return Cause{Quarantined, "requests " + e.quarantinedBy() + " crash the upstreams that run them and are refused"}, append(s.fingerprintLines(), *e)
	case contains("no permit"):
		return Cause{PermitDenied, fmt.Sprintf("service %s had too little capacity for the request%s: %s",
			e.Service, e.coordinatedBy(), e.Error)}, append(s.admissionLines(), *e)
	case contains("limits are reached"), contains("takes no more requests now"):
		return Cause{UpstreamClosed, "the upstreams that could serve the request had signaled that they accept no more requests at the time"}, end
	default:
		return s.explainUnserved()
	}
}

// explainUnserved explains why no upstream could serve a request.
func (s *Story) explainUnserved() (Cause, []Line) {
	e := s.End
	end := []Line{*e}
	contains := func(text string) bool { return strings.Contains(e.Error, text) }
	switch {
	case contains("too many loads wait"):
		return Cause{LoadsQueued, "the engines of adapter " + e.Adapter + " had more loads queued than could end in time for the request"}, append(s.loadLines(), *e)
	case contains("no engine has an owner"), contains("no right to order"):
		return Cause{NoOwner, "no live instance owned the engines of the adapter and could order a load"}, append(s.ownershipLines(), *e)
	case contains("status 421"), contains("status 503") && e.Adapter != "":
		return s.explainAbsentAdapter()
	case contains("status 503"), contains("status 429"):
		return Cause{UpstreamFull, fmt.Sprintf("%s had no free capacity, and no other upstream was tried", strings.Join(e.Tried, ", "))}, append(s.retries(), *e)
	case contains("request not sent"), contains("no upstream is left"), contains("has no upstream"):
		return Cause{UpstreamLost, "no upstream could be reached"}, append(s.upstreamFailures(failureWindow), *e)
	case contains("no time left"), contains("deadline"):
		return Cause{DeadlinePassed, "the deadline passed before an upstream could run the request"}, append(s.retries(), *e)
	default:
		return Cause{Unknown, e.Error}, end
	}
}

// explainAbsentAdapter explains why an engine refused a request for an adapter: the adapter had
// been replaced or evicted, or the engine did not hold it or was full.
func (s *Story) explainAbsentAdapter() (Cause, []Line) {
	e := s.End
	from := e.arrival().Add(-evictionWindow)
	var unloads, loads []Line
	for _, l := range s.Lines {
		if l.Event != snipelog.OrderGiven.Number || l.Adapter != e.Adapter || !slices.Contains(e.Tried, l.Engine) || l.Time.Before(from) {
			continue
		}
		if l.Action == "Unload" {
			unloads = append(unloads, l)
		} else if e.Version > 0 && l.Version > e.Version {
			loads = append(loads, l)
		}
	}
	switch {
	case len(loads) > 0:
		text := fmt.Sprintf("adapter %s was replaced by version %d on the engine that received the request", e.Adapter, loads[0].Version)
		return Cause{AdapterReplaced, text}, append(loads, *e)
	case len(unloads) > 0:
		text := fmt.Sprintf("adapter %s was evicted from the engine %d ms before the request arrived",
			e.Adapter, e.arrival().Sub(unloads[len(unloads)-1].Time).Milliseconds())
		return Cause{AdapterEvicted, text}, append(unloads, *e)
	default:
		text := fmt.Sprintf("the engine did not hold adapter %s, or was full; the directory of upstreams was %d ms old", e.Adapter, e.DirectoryAge)
		return Cause{AdapterAbsent, text}, append(s.upstreamFailures(failureWindow), *e)
	}
}

// explainFailed explains the failure of a request that may have run.
func (s *Story) explainFailed() (Cause, []Line) {
	e := s.End
	failures := s.upstreamFailures(failureWindow)
	stops := s.withEvents(snipelog.StopForced.Number)
	switch {
	case strings.Contains(e.Error, snipestop.ErrStopped.Error()):
		return s.explainStopped()
	case strings.Contains(e.Error, "crash upstreams"):
		return Cause{Quarantined, "the request crashed an upstream, and requests of its fingerprint " + e.Fingerprint + " are refused"}, append(s.fingerprintLines(), *e)
	case strings.Contains(e.Error, "had read nothing"):
		return Cause{ReaderSlow, "the instance ended the answer: " + e.Error}, append(s.withEvents(snipelog.AnswerEnded.Number), *e)
	case len(stops) > 0:
		return Cause{StopCut, "the planned stop of the instance reached its time limit before the request ended"}, append(stops, *e)
	case len(failures) > 0:
		return Cause{UpstreamLost, fmt.Sprintf("upstream %s ended or could not be reached: %s", failures[0].target(), e.Error)}, append(append(s.retries(), failures...), *e)
	case strings.Contains(e.Error, "deadline"):
		return Cause{DeadlinePassed, fmt.Sprintf("the upstream had not finished when the deadline passed, after %d ms", e.Milliseconds)}, append(s.retries(), *e)
	case strings.Contains(e.Error, "receipt"), strings.Contains(e.Error, "another request"):
		return Cause{UpstreamUnsure, "the answer of the upstream did not belong to this request, or was not signed: " + e.Error}, append(s.retries(), *e)
	default:
		return Cause{UpstreamBroke, "the upstream aborted or failed this answer: " + e.Error}, append(s.retries(), *e)
	}
}

// explainStopped explains the end of a request by a planned stop.
func (s *Story) explainStopped() (Cause, []Line) {
	text := "a planned stop of the instance ended before the request did"
	if s.End.Event == snipelog.RequestRefused.Number {
		text = "a planned stop of the instance left too little time for the request"
	}
	return Cause{StopCut, text}, append(s.withEvents(snipelog.Stopping.Number), *s.End)
}

// withEvents returns the lines that have one of the events.
func (s *Story) withEvents(events ...int) []Line {
	var found []Line
	for _, l := range s.Lines {
		if slices.Contains(events, l.Event) {
			found = append(found, l)
		}
	}
	return found
}

// quarantinedBy returns what the requests that are refused have in common.
func (e *Line) quarantinedBy() string {
	if e.Part {
		return "with part " + e.Fingerprint + " of their prompts"
	}
	return "of fingerprint " + e.Fingerprint
}

// fingerprintLines returns the lines that report crashes by the request, or with a part of its prompt, and decisions
// about its fingerprint or that of the part.
func (s *Story) fingerprintLines() []Line {
	lines := s.withEvents(snipelog.RequestBroke.Number, snipelog.FingerprintWatched.Number,
		snipelog.FingerprintRefused.Number, snipelog.FingerprintReleased.Number)
	return slices.DeleteFunc(lines, func(l Line) bool {
		return l.Fingerprint != s.End.Fingerprint && !slices.Contains(l.Parts, s.End.Fingerprint)
	})
}

// retries returns the lines that report further attempts of the request.
func (s *Story) retries() []Line { return s.withEvents(snipelog.RequestSentAgain.Number) }

// loadLines returns the lines that report the results of loading the request's adapter, or that a load
// was refused.
func (s *Story) loadLines() []Line {
	return s.withEvents(snipelog.AdapterPresent.Number, snipelog.LoadFailed.Number, snipelog.OrderUnknown.Number, snipelog.LoadRefused.Number)
}

// admissionLines returns the lines that report refused and expired permits, lost coordinators and
// pacing.
func (s *Story) admissionLines() []Line {
	return s.withEvents(snipelog.PermitRefused.Number, snipelog.PermitExpired.Number, snipelog.CoordinatorChanged.Number,
		snipelog.CoordinatorLost.Number, snipelog.PacingBegun.Number, snipelog.PacingEnded.Number, snipelog.UpstreamPaused.Number)
}

// coordinatedBy returns a clause about the instance that was asked for the permit, or that there was
// none.
func (e *Line) coordinatedBy() string {
	if e.Coordinator == "" {
		return ", by this instance's own pacing"
	}
	return ", by coordinator " + e.Coordinator
}

// ownershipLines returns the lines that report changes of the ownership of engines.
func (s *Story) ownershipLines() []Line {
	return s.withEvents(snipelog.OwnershipTaken.Number, snipelog.OwnershipLost.Number,
		snipelog.OwnershipStale.Number, snipelog.OwnershipFresh.Number)
}

// lifecycleLines returns the lines that report that an instance started, stopped, or could not
// refresh its catalog or directory.
func (s *Story) lifecycleLines() []Line {
	return s.withEvents(snipelog.Started.Number, snipelog.Stopping.Number, snipelog.StopForced.Number, snipelog.Stopped.Number,
		snipelog.CatalogStale.Number, snipelog.DirectoryStale.Number)
}

// upstreamFailures returns the lines that report that the last upstream that was tried crashed, became
// suspect or ended, at most the given time before or after the end of the request. It returns nil
// if no upstream was tried.
func (s *Story) upstreamFailures(within time.Duration) []Line {
	if len(s.End.Tried) == 0 {
		return nil
	}
	last := s.End.Tried[len(s.End.Tried)-1]
	failures := s.withEvents(snipelog.UpstreamCrashed.Number, snipelog.UpstreamSuspect.Number, snipelog.UpstreamGone.Number)
	return slices.DeleteFunc(failures, func(l Line) bool {
		return l.Upstream != last || s.End.Time.Sub(l.Time).Abs() > within
	})
}
