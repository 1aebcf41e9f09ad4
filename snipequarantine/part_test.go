package snipequarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipequarantine"
)

const (
	observeTime = time.Second
	second      = time.Second
)

// partLedger is a PartLedger that a test feeds with crashes.
type partLedger struct {
	snipequarantine.PartLedger
	texts int
}

// crashes records that so many upstreams ended, each while it ran another request with the parts.
func (l *partLedger) crashes(n int, parts ...string) {
	for u := range n {
		l.crash(fmt.Sprint("u", u), parts...)
	}
}

// copies is crashes of a number of requests that are sent again and again.
func (l *partLedger) copies(n, requests int, parts ...string) {
	for u := range n {
		l.crashOf(fmt.Sprint("request", u%requests), fmt.Sprint("u", u), parts...)
	}
}

// crash records that an upstream ended while it ran one request with the parts. Requests differ.
func (l *partLedger) crash(upstream string, parts ...string) {
	l.texts++
	l.crashOf(fmt.Sprint("text", l.texts), upstream, parts...)
}

func (l *partLedger) crashOf(text, upstream string, parts ...string) {
	for _, part := range parts {
		l.Record(snipequarantine.PartKey(part), snipequarantine.PartCrash{Upstream: upstream, Text: fingerprint(text)})
	}
}

// watch has the ledger decide what to watch, and reports an answer. It returns the parts that are refused after the
// given time.
func (l *partLedger) refusedAfter(d time.Duration) map[snipequarantine.Fingerprint]bool {
	l.Decide()
	l.NoteAnswered()
	time.Sleep(d)
	refused := make(map[snipequarantine.Fingerprint]bool)
	for _, s := range l.Decide() {
		if s.Refused {
			refused[s.Fingerprint] = true
		}
	}
	return refused
}

// TestPartLedger guards against sound parts that are blamed for crashes which another part, another request or
// nothing in the requests explains, and against a part that is not refused although it crashed four upstreams.
func TestPartLedger(t *testing.T) {
	tests := map[string]struct {
		play func(l *partLedger)
		want []string
	}{
		"Four":  {func(l *partLedger) { l.crashes(4, "p") }, []string{"p"}},
		"Three": {func(l *partLedger) { l.crashes(3, "p") }, nil},
		"SharedByAll": {func(l *partLedger) {
			l.crashes(5, "shared", "p")
			l.crashes(5, "shared")
		}, []string{"p"}},
		"Beside": {func(l *partLedger) {
			l.crashes(6, "p")
			l.crashes(3, "session")
			l.crashes(4, "often")
		}, []string{"p"}},
		"TwoParts": {func(l *partLedger) {
			l.crashes(4, "p")
			for n := range 4 {
				l.crash(fmt.Sprint("v", n), "q")
			}
		}, []string{"p", "q"}},
		"TwoRequestsFive": {func(l *partLedger) { l.copies(5, 2, "p") }, []string{"p"}},
		"TwoRequestsFour": {func(l *partLedger) { l.copies(4, 2, "p") }, nil},
		"OneRequestAgain": {func(l *partLedger) { l.copies(6, 1, "p") }, nil},
		"ExplainedByPart": {func(l *partLedger) {
			l.crashes(4, "p")
			l.Explain(snipequarantine.Suspect{Fingerprint: snipequarantine.PartKey("q"), Part: true, Refused: true, Upstreams: []string{"u0"}})
		}, nil},
		"Answered": {func(l *partLedger) {
			l.crashes(4, "p")
			l.Clear(snipequarantine.PartKey("p"))
			l.crash("u9", "p")
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &partLedger{}
				l.ObserveTime = observeTime
				tt.play(l)
				must.MapEmpty(t, l.refusedAfter(observeTime-time.Millisecond), must.Sprint("not watched long enough"))
				refused := l.refusedAfter(time.Millisecond)
				must.MapLen(t, len(tt.want), refused)
				for _, part := range tt.want {
					must.True(t, refused[snipequarantine.PartKey(part)], must.Sprint(part))
				}
			})
		})
	}
}

// TestManyWatchedParts guards against a part that is never watched, and so never refused, because many others were at
// two crashes, now or a while ago.
func TestManyWatchedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &partLedger{}
		l.ObserveTime = observeTime
		for n := range 300 {
			l.crashes(2, fmt.Sprint("sound", n))
		}
		l.crashes(4, "p")
		must.MapContainsKey(t, l.refusedAfter(observeTime), snipequarantine.PartKey("p"))
		time.Sleep(2 * time.Minute)
		for n := range 4 {
			l.crash(fmt.Sprint("v", n), "q")
		}
		must.MapContainsKey(t, l.refusedAfter(observeTime), snipequarantine.PartKey("q"))
	})
}

// TestPartsWhileNothingAnswers guards against parts that are refused because all upstreams are down, so that no
// request with them can be answered.
func TestPartsWhileNothingAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &partLedger{}
		l.ObserveTime = observeTime
		for n := range 6 {
			l.crash(fmt.Sprint("u", n), "shared")
		}
		l.Decide()
		time.Sleep(10 * second)
		must.SliceEmpty(t, l.Decide())
		must.MapEmpty(t, l.refusedAfter(observeTime/2-time.Millisecond))
		must.MapLen(t, 1, l.refusedAfter(time.Millisecond))
	})
}

// partTraffic sends requests with prompts to a fleet. In each step one upstream crashes while any request with a
// crashing part reaches one.
type partTraffic struct {
	*fleet
	step, texts int
	// allDown is the time from the first crash on in which nothing is answered.
	allDown time.Duration
	// others has an upstream crash in each step without a crashing part.
	others bool
	// repeats is how often each request with the crashing part is sent, once if it is zero, and pause the number of
	// steps from one to the next.
	repeats, pause int
	// crashingText is the request with the crashing part that is sent now, and sentCopies how often it was.
	crashingText snipequarantine.Fingerprint
	sentCopies   int
	// crashedAt holds the times at which requests with the crashing part reached an upstream.
	crashedAt     []time.Duration
	sent, refused int
	// again holds the sound requests that were at an upstream that crashed, and are sent again maxTries times.
	again []soundRequest
}

// soundRequest is a sound request and how often it was sent.
type soundRequest struct {
	text  snipequarantine.Fingerprint
	parts []string
	tries int
}

// sharedByAll is the first part of all prompts, crashing the part that crashes upstreams; sessions is the number of
// other parts.
const (
	sharedByAll, crashing = "shared", "crashing"
	sessions              = 12
)

// send sends a request with the parts. If it runs, it is at an upstream that crashes, or is answered.
func (r *partTraffic) send(crashes, answers bool, text snipequarantine.Fingerprint, parts ...string) (ran bool) {
	e := r.any()
	if _, refused := e.Suspects.Refused(text); refused {
		return false
	}
	var keys []snipequarantine.Fingerprint
	for _, part := range parts {
		key := snipequarantine.PartKey(part)
		if _, refused := e.Parts.Refused(key); refused {
			return false
		}
		keys = append(keys, key)
	}
	switch {
	case crashes:
		e.Crashed(fmt.Sprint("u", r.step), text)
		e.PartsCrashed(fmt.Sprint("u", r.step), text, keys)
	case answers:
		e.PartsAnswered(keys, time.Now())
	}
	return true
}

// arrive sends the requests of one step.
func (r *partTraffic) arrive(at time.Duration) {
	r.step++
	crashed := r.others
	if r.step%max(r.pause, 1) == 0 && r.sendCrashing() {
		r.crashedAt = append(r.crashedAt, at)
		crashed = true
	}
	all := r.again
	r.again = nil
	for n := range innocents {
		all = append(all, soundRequest{r.newText(), []string{sharedByAll, fmt.Sprint("session", (r.step+n)%sessions)}, 0})
	}
	for _, q := range all {
		hit := crashed && r.chance(hitShare)
		r.sent++
		if !r.send(hit, at >= r.allDown, q.text, q.parts...) {
			r.refused++
		}
		if q.tries++; hit && q.tries < maxTries {
			r.again = append(r.again, q)
		}
	}
}

// sendCrashing sends a request with the crashing part, and reports whether it ran.
func (r *partTraffic) sendCrashing() (ran bool) {
	if r.sentCopies--; r.sentCopies <= 0 {
		r.crashingText, r.sentCopies = r.newText(), r.repeats
	}
	return r.send(true, false, r.crashingText, sharedByAll, crashing)
}

// newText returns the fingerprint of a request unlike all others.
func (r *partTraffic) newText() snipequarantine.Fingerprint {
	r.texts++
	return fingerprint(fmt.Sprint("request", r.texts))
}

// TestExchangeParts guards against requests with a part that goes on crashing upstreams later than SpreadTime after
// the fifth crash, and against sound requests that are refused because their prompts share other parts with them.
func TestExchangeParts(t *testing.T) {
	const fifth = 4
	tests := map[string]struct {
		instances, down int
		lost            float64
		allDown         time.Duration
		others          bool
		repeats, pause  int
	}{
		"7 instances":               {instances: 7},
		"66 instances":              {instances: 66},
		"300 instances":             {instances: 300},
		"7, messages lost":          {instances: 7, lost: 0.1},
		"66, messages lost":         {instances: 66, lost: 0.1},
		"7, two that do not answer": {instances: 7, down: 2},
		"7, all down at first":      {instances: 7, allDown: time.Second},
		"7, others crash":           {instances: 7, others: true},
		"7, requests sent again":    {instances: 7, repeats: 4},
		"7, one request for long":   {instances: 7, repeats: 40},
		// Each request is refused by its fingerprint after its third crash.
		"7, slowly, sent again": {instances: 7, repeats: 3, pause: 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 20 * time.Second
				f := newFleet(tt.instances)
				f.lost = tt.lost
				for n := range tt.down {
					f.down[f.members[n].ID] = true
				}
				r := &partTraffic{fleet: f, allDown: tt.allDown, others: tt.others, repeats: tt.repeats, pause: tt.pause}
				f.run(t, length, r.arrive)
				late := 0
				for _, at := range r.crashedAt {
					if len(r.crashedAt) > fifth && at > r.crashedAt[fifth]+spreadTime {
						late++
					}
				}
				test.LessEq(t, 3, late)
				test.Zero(t, r.refused, test.Sprintf("refused of %d sound requests", r.sent))
				t.Logf("%d crashes, the last one at %v, %.1f messages a second and instance", len(r.crashedAt),
					r.crashedAt[len(r.crashedAt)-1], float64(f.messages)/length.Seconds()/float64(tt.instances))
			})
		})
	}
}

// BenchmarkPartKeys measures what each request costs while any part is watched or refused.
func BenchmarkPartKeys(b *testing.B) {
	var s snipequarantine.Suspects
	for b.Loop() {
		for n := range 4 {
			s.Refused(snipequarantine.PartKey(fmt.Sprint("5c1e07a", n)))
		}
	}
}
