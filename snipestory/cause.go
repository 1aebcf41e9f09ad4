package snipestory

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

// Kind is a kind of cause.
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
	AdapterWait     Kind = "AdapterWait"
	UpstreamWait    Kind = "UpstreamWait"
	Pause           Kind = "Pause"
)

// Cause is why a request ended as it did.
type Cause struct {
	Kind Kind
	// Text says it in a sentence, with the figures that speak for it.
	Text string
}

// crashSlack is how long before or after an answer breaks off other signs of the same
// upstream's end may be logged: three broken answers, or a lease's duration.
const crashSlack = 4 * time.Second

// evictionAge is how long before a request an eviction may explain that it met an
// engine without its adapter: all instances know of it by then.
const evictionAge = 4 * time.Second

// explain returns the cause of a story and the lines that speak for it.
func explain(s *Story) (Cause, []Line) {
	if s.End == nil {
		return Cause{Unknown, "the request has no end line: the instance was killed, or the line was dropped"}, s.lifecycle()
	}
	switch s.End.Event {
	case snipelog.RequestEnded.Number:
		return s.late()
	case snipelog.RequestAbandoned.Number:
		return Cause{CallerLeft, fmt.Sprintf("the caller left after %d ms", s.End.Milliseconds)}, []Line{*s.End}
	case snipelog.RequestRefused.Number:
		return s.refused()
	default:
		return s.failed()
	}
}

// late explains an answer that was given.
func (s *Story) late() (Cause, []Line) {
	e := s.End
	over := func(ms, target int64) bool { return target > 0 && ms > target }
	switch {
	case over(e.FirstMilliseconds, e.TargetMilliseconds) && 2*e.WaitedMilliseconds >= e.FirstMilliseconds:
		text := fmt.Sprintf("%d of the %d ms to the answer's beginning were spent on waiting for adapter %s",
			e.WaitedMilliseconds, e.FirstMilliseconds, e.Adapter)
		return Cause{AdapterWait, text}, s.loads()
	case over(e.FirstMilliseconds, e.TargetMilliseconds):
		text := fmt.Sprintf("the answer began after %d ms, of which the adapter took %d; %.0f%% of the upstream's slots were thought to be taken",
			e.FirstMilliseconds, e.WaitedMilliseconds, 100*e.Busy)
		return Cause{UpstreamWait, text}, append(s.repeats(), *e)
	case over(e.PauseMilliseconds, e.PauseTargetMilliseconds):
		text := fmt.Sprintf("the answer paused for %d ms, %d are allowed", e.PauseMilliseconds, e.PauseTargetMilliseconds)
		return Cause{Pause, text}, append(s.repeats(), *e)
	default:
		return Cause{None, fmt.Sprintf("answered in time, with status %d", e.Status)}, []Line{*e}
	}
}

// identity explains a refusal for the request's key or quota; false where it was for something else.
func (e *Line) identity() (Cause, bool) {
	has := func(text string) bool { return strings.Contains(e.Error, text) }
	switch {
	case has("no workspace has this key"), has("no key"):
		return Cause{KeyUnknown, fmt.Sprintf("no workspace of catalog %d has its key", e.Catalog)}, true
	case has("the key was taken away"):
		return Cause{KeyTaken, fmt.Sprintf("its key was in catalog %d and was taken away while it waited", e.Catalog)}, true
	case has("may have changed since it was read"):
		return Cause{CatalogOld, fmt.Sprintf("nothing in catalog %d fits it, and a newer one may be in force", e.Catalog)}, true
	case has("quota is used up"):
		return Cause{QuotaUsed, fmt.Sprintf("workspace %s had no room for %.0f units in its quota", e.Workspace, e.Asked)}, true
	}
	return Cause{}, false
}

// refused explains a request that nothing has run.
func (s *Story) refused() (Cause, []Line) {
	e := s.End
	end := []Line{*e}
	has := func(text string) bool { return strings.Contains(e.Error, text) }
	if c, known := e.identity(); known {
		return c, append(s.lifecycle(), *e)
	}
	switch {
	case has("no routes are known"):
		return Cause{RoutesUnknown, "the instance had read no routes yet"}, append(s.lifecycle(), *e)
	case has("no route for this host"):
		return Cause{NoRoute, "no declared route fits its host and path"}, end
	case has("limits are reached"), has("takes no more requests now"):
		return Cause{UpstreamClosed, "the upstreams that could serve it take no more requests now, by their own words"}, end
	default:
		return s.unserved()
	}
}

// unserved explains a refusal for want of an upstream that could serve the request.
func (s *Story) unserved() (Cause, []Line) {
	e := s.End
	end := []Line{*e}
	has := func(text string) bool { return strings.Contains(e.Error, text) }
	switch {
	case has("too many loads wait"):
		return Cause{LoadsQueued, "the engines of adapter " + e.Adapter + " had more loads queued than fit into its time"}, append(s.loads(), *e)
	case has("no engine has an owner"), has("no right to order"):
		return Cause{NoOwner, "no live instance had the right to order the adapter's engines"}, append(s.ownership(), *e)
	case has("status 421"), has("status 503") && e.Adapter != "":
		return s.absent()
	case has("status 503"), has("status 429"):
		return Cause{UpstreamFull, fmt.Sprintf("%s had no room, and nothing else was tried", strings.Join(e.Tried, ", "))}, append(s.repeats(), *e)
	case has("request not sent"), has("no upstream is left"), has("has no upstream"):
		return Cause{UpstreamLost, "no upstream could be reached"}, append(s.upstreamSigns(crashSlack), *e)
	case has("no time left"), has("deadline"):
		return Cause{DeadlinePassed, "its time was over before an upstream could run it"}, append(s.repeats(), *e)
	default:
		return Cause{Unknown, e.Error}, end
	}
}

// absent explains a refusal by an engine that did not hold the adapter.
func (s *Story) absent() (Cause, []Line) {
	e := s.End
	from := e.begun().Add(-evictionAge)
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
		text := fmt.Sprintf("adapter %s was replaced by version %d on the engine that was asked", e.Adapter, loads[0].Version)
		return Cause{AdapterReplaced, text}, append(loads, *e)
	case len(unloads) > 0:
		text := fmt.Sprintf("adapter %s was evicted from the engine %d ms before the request came",
			e.Adapter, e.begun().Sub(unloads[len(unloads)-1].Time).Milliseconds())
		return Cause{AdapterEvicted, text}, append(unloads, *e)
	default:
		text := fmt.Sprintf("the engine did not hold adapter %s, or was full; knowledge of the engines was %d ms old", e.Adapter, e.DirectoryAge)
		return Cause{AdapterAbsent, text}, append(s.upstreamSigns(crashSlack), *e)
	}
}

// failed explains a request that may have run.
func (s *Story) failed() (Cause, []Line) {
	e := s.End
	signs := s.upstreamSigns(crashSlack)
	stops := s.with(snipelog.StopForced.Number)
	switch {
	case len(stops) > 0:
		return Cause{StopCut, "the instance's planned stop ran out of time"}, append(stops, *e)
	case len(signs) > 0:
		return Cause{UpstreamLost, fmt.Sprintf("upstream %s ended or could not be reached: %s", signs[0].target(), e.Error)}, append(append(s.repeats(), signs...), *e)
	case strings.Contains(e.Error, "deadline"):
		return Cause{DeadlinePassed, fmt.Sprintf("the upstream did not end within its time, %d ms", e.Milliseconds)}, append(s.repeats(), *e)
	case strings.Contains(e.Error, "receipt"), strings.Contains(e.Error, "another request"):
		return Cause{UpstreamUnsure, "what the upstream sent was no answer to this request: " + e.Error}, append(s.repeats(), *e)
	default:
		return Cause{UpstreamBroke, "the upstream broke off or failed this one answer: " + e.Error}, append(s.repeats(), *e)
	}
}

// with returns the lines of some events.
func (s *Story) with(events ...int) []Line {
	var found []Line
	for _, l := range s.Lines {
		if slices.Contains(events, l.Event) {
			found = append(found, l)
		}
	}
	return found
}

// repeats returns the lines of further attempts.
func (s *Story) repeats() []Line { return s.with(snipelog.RequestSentAgain.Number) }

// loads returns what became of the loads of the request's adapter.
func (s *Story) loads() []Line {
	return s.with(snipelog.AdapterPresent.Number, snipelog.LoadFailed.Number, snipelog.OrderUnknown.Number)
}

// ownership returns the changes of who may order.
func (s *Story) ownership() []Line {
	return s.with(snipelog.OwnershipTaken.Number, snipelog.OwnershipLost.Number,
		snipelog.OwnershipStale.Number, snipelog.OwnershipFresh.Number)
}

// lifecycle returns the instance's own starts, stops and lost dependencies.
func (s *Story) lifecycle() []Line {
	return s.with(snipelog.Started.Number, snipelog.Stopping.Number, snipelog.StopForced.Number, snipelog.Stopped.Number,
		snipelog.CatalogStale.Number, snipelog.DirectoryStale.Number)
}

// upstreamSigns returns the signs that the last upstream that was tried ended, or could
// not be reached, within a time of the request's end.
func (s *Story) upstreamSigns(within time.Duration) []Line {
	if len(s.End.Tried) == 0 {
		return nil
	}
	last := s.End.Tried[len(s.End.Tried)-1]
	signs := s.with(snipelog.UpstreamSuspect.Number, snipelog.UpstreamGone.Number)
	return slices.DeleteFunc(signs, func(l Line) bool {
		return l.Upstream != last || s.End.Time.Sub(l.Time).Abs() > within
	})
}
