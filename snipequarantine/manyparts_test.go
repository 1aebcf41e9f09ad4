package snipequarantine_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipequarantine"
)

// TestPartAmongFillers guards against a part that is never refused because the requests that hold it have many others
// which nobody answers: more than are counted, more than are watched, each in one request or in several.
func TestPartAmongFillers(t *testing.T) {
	tests := map[string]struct {
		// fillers is the number of other parts of each request, shared how many requests in a row have the same ones,
		// requests the number of requests with the part at each crash, repeats how often each of them is sent, and beside
		// the number of sound requests at each crash, with as many parts that no other has.
		fillers, shared, requests, repeats, beside int
	}{
		"None":           {0, 1, 1, 1, 0},
		"Few":            {100, 1, 1, 1, 0},
		"Thousands":      {8000, 1, 3, 1, 0},
		"SentAgain":      {8000, 1, 1, 2, 0},
		"ManyRequests":   {1000, 1, 20, 1, 0},
		"SharedByTwo":    {1000, 2, 1, 1, 0},
		"SharedByAll":    {1000, 100, 3, 1, 0},
		"SharedAndAgain": {500, 2, 1, 2, 0},
		"Beside":         {8000, 1, 1, 1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &partLedger{}
				l.ObserveTime = observeTime
				l.HistoryCovers = func() bool { return true }
				key := snipequarantine.PartKey("p")
				crashes := 0
				refused := func() bool {
					for _, s := range l.Decide() {
						if s.Refused && s.Fingerprint == key {
							return true
						}
					}
					return false
				}
				for ; !refused(); crashes++ {
					must.Less(t, 8, crashes)
					for n := range tt.requests {
						text := crashes/tt.repeats*tt.requests + n
						parts := make([]string, 0, tt.fillers+1)
						for k := range tt.fillers {
							parts = append(parts, fmt.Sprint("filler", text/tt.shared, "-", k))
						}
						l.crashOf(fmt.Sprint("request", text), fmt.Sprint("u", crashes), append(parts, "p")...)
						if tt.shared > 1 {
							// A sound request with the same fillers is at the same upstream, and others were answered.
							l.crash(fmt.Sprint("u", crashes), parts...)
							for _, part := range parts {
								l.NoteKnown(snipequarantine.PartKey(part))
							}
						}
					}
					for n := range tt.beside {
						parts := make([]string, tt.fillers)
						for k := range parts {
							parts[k] = fmt.Sprint("beside", crashes, "-", n, "-", k)
						}
						l.crash(fmt.Sprint("u", crashes), parts...)
					}
					time.Sleep(observeTime / 2)
				}
			})
		})
	}
}

// TestReportsAreBounded guards against messages and memory that grow with the prompts of the requests at a crash.
func TestReportsAreBounded(t *testing.T) {
	const partsOfPrompt, requests = 4000, 200
	synctest.Test(t, func(t *testing.T) {
		reported, most := 0, 0
		e := &snipequarantine.Exchange{
			Self: "i0", SpreadTime: spreadTime, Changed: func(snipequarantine.Suspect, snipequarantine.Source) {},
			Announce: func(context.Context, string, []snipequarantine.Suspect) error { return nil },
			Report: func(_ context.Context, _ string, r snipequarantine.Report) ([]snipequarantine.Suspect, error) {
				sum := 0
				for _, c := range r.PartCrashes {
					sum += len(c.Parts)
				}
				reported, most = reported+len(r.PartCrashes), max(most, sum)
				return nil, nil
			},
		}
		members := []snipequarantine.Member{snipequarantine.NewMember("i0", "a"), snipequarantine.NewMember("i1", "b")}
		e.Members = func() []snipequarantine.Member { return members }
		e.Candidates = e.Members
		before := liveBytes()
		for n := range requests {
			keys := make([]snipequarantine.Fingerprint, partsOfPrompt)
			for k := range keys {
				keys[k] = snipequarantine.PartKey(fmt.Sprint(n, "-", k))
			}
			e.PartsCrashed(fmt.Sprint("u", n), keys[0], keys)
		}
		must.Less(t, 8<<20, liveBytes()-before)
		for range 50 {
			e.Step(t.Context())
			time.Sleep(spreadTime / 40)
		}
		must.LessEq(t, snipequarantine.MaxReportParts, most)
		must.GreaterEq(t, 30, reported) // the newest
	})
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHistoryOverflow guards against a sound part that is taken for one that nobody answered because the history had no
// room for it.
func TestHistoryOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h snipequarantine.PartHistory
		for n := range 40_000 {
			h.Add([]snipequarantine.Fingerprint{snipequarantine.PartKey(fmt.Sprint(n))})
		}
		time.Sleep(20 * time.Second)
		must.False(t, h.Covers())
		time.Sleep(20 * time.Second)
		h.Add([]snipequarantine.Fingerprint{snipequarantine.PartKey("a")})
		must.False(t, h.Covers())
		time.Sleep(40 * time.Second)
		h.Add([]snipequarantine.Fingerprint{snipequarantine.PartKey("a")})
		must.True(t, h.Covers())
	})
}

// TestPartKeys guards against keys that differ from those of other instances.
func TestPartKeys(t *testing.T) {
	var k snipequarantine.PartKeys
	for range 3 {
		for n := range 300 {
			keys := k.Of(100, func(i int) string { return fmt.Sprint(n*70 + i) })
			for i, key := range keys {
				must.Eq(t, snipequarantine.PartKey(fmt.Sprint(n*70+i)), key)
			}
		}
	}
}

// BenchmarkPartsAnswered measures what an answered request costs on a day on which nothing crashes.
func BenchmarkPartsAnswered(b *testing.B) {
	for _, n := range []int{3, 16, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprintf("5c1e%04x", i)
			}
			var k snipequarantine.PartKeys
			var e snipequarantine.Exchange
			at := time.Now()
			for b.Loop() {
				e.PartsAnswered(k.Of(len(ids), func(i int) string { return ids[i] }), at)
			}
		})
	}
}
