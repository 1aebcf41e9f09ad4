package snipequarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipequarantine"
)

// TestLedger guards against requests that are refused too late, and against innocent ones that are
// refused because they were at upstreams that crashed.
func TestLedger(t *testing.T) {
	const observeTime = time.Second
	f, other := fingerprint("f"), fingerprint("other")
	type step func(l *snipequarantine.Ledger)
	crash := func(f snipequarantine.Fingerprint, upstreams ...string) step {
		return func(l *snipequarantine.Ledger) {
			for _, u := range upstreams {
				l.Record(snipequarantine.UpstreamCrash{Fingerprint: f, Upstream: u})
			}
		}
	}
	wait := func(d time.Duration) step {
		return func(l *snipequarantine.Ledger) { l.Decide(); time.Sleep(d) }
	}
	clearOf := func(l *snipequarantine.Ledger) { l.Clear(f) }
	explained := func(upstreams ...string) step {
		return func(l *snipequarantine.Ledger) {
			l.Explain(snipequarantine.Suspect{Fingerprint: other, Refused: true, Upstreams: upstreams})
		}
	}
	tests := map[string]struct {
		steps            []step
		watched, refused bool
	}{
		"one crash":                      {[]step{crash(f, "a")}, false, false},
		"copies at one upstream":         {[]step{crash(f, "a", "a", "a")}, false, false},
		"two crashes":                    {[]step{crash(f, "a", "b")}, true, false},
		"three at once":                  {[]step{crash(f, "a", "b", "c")}, true, false},
		"three, watched":                 {[]step{crash(f, "a", "b", "c"), wait(observeTime)}, false, true},
		"third after the watch":          {[]step{crash(f, "a", "b"), wait(observeTime), crash(f, "c")}, false, true},
		"answered while watched":         {[]step{crash(f, "a", "b", "c"), wait(observeTime), clearOf}, false, false},
		"crashes of another request":     {[]step{crash(f, "a", "b", "c"), explained("a", "b", "c"), wait(observeTime)}, false, false},
		"one crash more than of another": {[]step{crash(f, "a", "b", "c", "d"), explained("a", "b", "c", "d"), wait(observeTime)}, false, true},
		"one that none explains":         {[]step{crash(f, "a", "b", "c"), explained("a", "b"), wait(observeTime)}, false, true},
		"too long ago":                   {[]step{crash(f, "a", "b"), wait(snipequarantine.SuspectTime), wait(0), crash(f, "c")}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &snipequarantine.Ledger{ObserveTime: observeTime}
				for _, s := range tt.steps {
					s(l)
				}
				var watched, refused bool
				for _, s := range l.Decide() {
					watched, refused = watched || !s.Refused, refused || s.Refused
				}
				must.Eq(t, tt.watched, watched, must.Sprint("watched"))
				must.Eq(t, tt.refused, refused, must.Sprint("refused"))
			})
		})
	}
}

// TestSuspects guards against older decisions, which arrive late, that undo newer ones.
func TestSuspects(t *testing.T) {
	f := fingerprint("f")
	watch := snipequarantine.Suspect{Fingerprint: f, Left: time.Hour}
	refuse := snipequarantine.Suspect{Fingerprint: f, Left: time.Hour, Refused: true}
	release := snipequarantine.Suspect{Fingerprint: f, Round: 1}
	refuseAgain := snipequarantine.Suspect{Fingerprint: f, Left: time.Hour, Refused: true, Round: 1}
	tests := map[string]struct {
		decisions      []snipequarantine.Suspect
		known, refused bool
	}{
		"watched":                     {[]snipequarantine.Suspect{watch}, true, false},
		"refused":                     {[]snipequarantine.Suspect{watch, refuse}, true, true},
		"refused, then an old watch":  {[]snipequarantine.Suspect{refuse, watch}, true, true},
		"released":                    {[]snipequarantine.Suspect{refuse, release}, false, false},
		"released, then old ones":     {[]snipequarantine.Suspect{release, watch, refuse}, false, false},
		"released and refused again":  {[]snipequarantine.Suspect{refuse, release, refuseAgain}, true, true},
		"refused again, then release": {[]snipequarantine.Suspect{refuse, refuseAgain, release}, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s snipequarantine.Suspects
			must.True(t, s.Empty())
			for _, d := range tt.decisions {
				s.Apply(d)
			}
			_, refused := s.Refused(f)
			must.Eq(t, tt.refused, refused)
			must.Eq(t, tt.known, s.Known(f))
			must.Eq(t, tt.known, !s.Empty())
		})
	}
}

// BenchmarkFingerprint measures what each request costs while any fingerprint is a suspect.
func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"1KB": 1 << 10, "18KB": 18 << 10, "110KB": 110 << 10} {
		b.Run(name, func(b *testing.B) {
			body := make([]byte, size)
			var s snipequarantine.Suspects
			for b.Loop() {
				s.Known(snipequarantine.NewFingerprint(body, "north", "POST", "calls.example", "/draft/1", "base", "a1"))
			}
		})
	}
}
