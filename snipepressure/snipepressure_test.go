package snipepressure_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipepressure"
)

const bound = 1000

// request is an account of a test with what happened to it.
type request struct {
	snipepressure.Account
	name     string
	decision *snipepressure.Decision
	progress uint64
}

// open opens an account that records its end.
func open(t *testing.T, b *snipepressure.Budget, workspace, name string, bytes int64) *request {
	t.Helper()
	r := &request{name: name}
	r.End = func(d snipepressure.Decision) { r.decision = &d }
	r.Progress = func() uint64 { return r.progress }
	must.NoError(t, b.Open(&r.Account, workspace, bytes))
	return r
}

// close closes a request as the gateway does after a write that has ended.
func (r *request) close() {
	r.Unblock()
	r.Close()
}

// TestBound guards against accounts that exceed the bound, and against requests that are refused though
// they fit.
func TestBound(t *testing.T) {
	tests := map[string]struct {
		held, bytes int64 // what another workspace and the same one hold already, and what is wanted
		own         int64
		fits        bool
	}{
		"Fits":            {0, 800, 0, true},
		"UpToShareMark":   {800, 75, 0, true},
		"LittleUpToBound": {750, 250, 0, true},
		"OverBound":       {750, 251, 0, false},
		"OverPart":        {300, 100, 500, false},
		"Alone":           {0, 876, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &snipepressure.Budget{Bound: bound}
			if tt.held > 0 {
				open(t, b, "other", "", tt.held)
			}
			if tt.own > 0 {
				open(t, b, "own", "", tt.own)
			}
			var a snipepressure.Account
			err := b.Open(&a, "own", tt.bytes)
			must.Eq(t, tt.fits, a.Active())
			if tt.fits {
				must.NoError(t, err)
				must.Eq(t, tt.held+tt.own+tt.bytes, b.Held())
				a.Close()
			} else {
				must.ErrorIs(t, err, snipepressure.ErrFull)
			}
			must.Eq(t, tt.held+tt.own, b.Held())
			must.Eq(t, tt.own, b.WorkspaceHeld("own"))
		})
	}
}

// TestNoBound guards against a budget without a bound that refuses or ends something.
func TestNoBound(t *testing.T) {
	for name, b := range map[string]*snipepressure.Budget{"Nil": nil, "Zero": {}} {
		t.Run(name, func(t *testing.T) {
			var a snipepressure.Account
			must.NoError(t, b.Open(&a, "w", 1<<60))
			must.True(t, a.Grow(1<<60))
			must.True(t, a.GrowAhead(1<<60))
			a.Block(time.Now())
			a.Release(1)
			a.Unblock()
			a.Close()
			must.False(t, b.Active())
		})
	}
}

// TestGrowth guards against answers that are read ahead into the part of the bound that is kept for new
// requests, and against bytes that are lost from the count.
func TestGrowth(t *testing.T) {
	b := &snipepressure.Budget{Bound: bound}
	r := open(t, b, "w", "", 700)
	must.True(t, r.GrowAhead(50))
	must.False(t, r.GrowAhead(1))
	must.True(t, r.Grow(250))
	must.False(t, r.Grow(1))
	must.Eq(t, snipepressure.Full, b.Level())
	r.Release(300)
	must.Eq(t, 700, b.Held())
	must.Eq(t, snipepressure.Free, b.Level())
	r.close()
	must.Eq(t, 0, b.Held())
}

// TestChoice guards against ending an answer of a workspace that holds less than another, one that is
// read though a reader beside it reads nothing, one that is not blocked, one that was unread for a moment
// only, or more than is needed.
func TestChoice(t *testing.T) {
	type blocked struct {
		workspace string
		bytes     int64
		unread    time.Duration // negative: not blocked
	}
	tests := map[string]struct {
		requests []blocked
		wanted   int64  // by an answer of another workspace
		ended    string // the numbers of the requests that are ended
	}{
		"LargestWorkspace": {[]blocked{{"a", 200, time.Minute}, {"b", 300, 2 * time.Second}, {"b", 300, 3 * time.Second}}, 200, "2"},
		"LongestUnread":    {[]blocked{{"a", 300, 2 * time.Second}, {"a", 300, 9 * time.Second}, {"a", 200, 5 * time.Second}}, 200, "1"},
		"NotBlocked":       {[]blocked{{"a", 500, -1}, {"b", 300, 2 * time.Second}}, 200, "1"},
		"OnlyAsNeeded":     {[]blocked{{"a", 400, 4 * time.Second}, {"a", 400, 3 * time.Second}}, 470, "0"},
		"Several":          {[]blocked{{"a", 250, 4 * time.Second}, {"a", 250, 3 * time.Second}, {"a", 300, 2 * time.Second}}, 500, "01"},
		"Turns":            {[]blocked{{"a", 300, 4 * time.Second}, {"a", 150, 3 * time.Second}, {"b", 350, 2 * time.Second}}, 600, "02"},
		"WithinGrace":      {[]blocked{{"a", 400, 500 * time.Millisecond}, {"a", 400, 500 * time.Millisecond}}, 100, ""},
		"FullWithinGrace":  {[]blocked{{"a", 400, 900 * time.Millisecond}, {"a", 400, 300 * time.Millisecond}}, 300, ""},
		"FullOneInGrace":   {[]blocked{{"a", 400, 900 * time.Millisecond}, {"a", 400, time.Second}}, 900, "1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &snipepressure.Budget{Bound: bound}
				var all []*request
				for n, q := range tt.requests {
					r := open(t, b, q.workspace, fmt.Sprint(n), q.bytes)
					if q.unread >= 0 {
						r.Block(time.Now().Add(-q.unread))
					}
					all = append(all, r)
				}
				answer := open(t, b, "new", "answer", 0)
				_ = answer.Grow(tt.wanted)
				must.Eq(t, tt.ended, endedNames(t, all))
				for _, r := range append(all, answer) {
					r.close()
				}
			})
		})
	}
}

// endedNames returns the names of the requests that were ended for bytes.
func endedNames(t *testing.T, all []*request) string {
	t.Helper()
	names := ""
	for _, r := range all {
		if r.decision == nil {
			continue
		}
		names += r.name
		must.True(t, r.Ended())
		must.False(t, r.decision.Expired)
	}
	return names
}

// TestNewcomer guards against answers that are ended for a new request: those whose callers read, for
// any, and those whose callers do not, for one that is refused all the same.
func TestNewcomer(t *testing.T) {
	tests := map[string]struct {
		unread time.Duration // of two answers with 400 bytes each
		wanted int64
		fits   bool
		ended  string
	}{
		"Fits":               {2 * time.Second, 200, true, "0"},
		"FitsReaders":        {300 * time.Millisecond, 200, true, ""},
		"OverBound":          {2 * time.Second, 201, false, ""},
		"OverBoundReaders":   {300 * time.Millisecond, 201, false, ""},
		"FarOverBound":       {2 * time.Second, 470, false, ""},
		"FarOverBoundLatest": {300 * time.Millisecond, 470, false, ""},
	}
	ways := map[string]func(b *snipepressure.Budget, bytes int64) bool{
		"Open": func(b *snipepressure.Budget, bytes int64) bool {
			return b.Open(&snipepressure.Account{}, "new", bytes) == nil
		},
		"Body": func(b *snipepressure.Budget, bytes int64) bool {
			var a snipepressure.Account
			return b.Open(&a, "new", 0) == nil && a.GrowBody(bytes)
		},
	}
	for name, tt := range tests {
		for way, admit := range ways {
			t.Run(name+way, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := &snipepressure.Budget{Bound: bound}
					var all []*request
					for n := range 2 {
						r := open(t, b, "a", fmt.Sprint(n), 400)
						r.Block(time.Now().Add(time.Duration(n)*time.Millisecond - tt.unread))
						all = append(all, r)
					}
					must.Eq(t, tt.fits, admit(b, tt.wanted))
					must.Eq(t, tt.ended, endedNames(t, all))
				})
			})
		}
	}
}

// TestOverPart guards against an answer that is ended for a new request which is refused since its
// workspace would hold more than an equal part.
func TestOverPart(t *testing.T) {
	b := &snipepressure.Budget{Bound: bound}
	r := open(t, b, "a", "r", 800)
	r.Block(time.Now().Add(-2 * snipepressure.HighGrace))
	for n := range 6 {
		open(t, b, fmt.Sprint("other", n), "", 0)
	}
	must.Error(t, b.Open(&snipepressure.Account{}, "new", 150)) // 950 of 1000 in all, 125 for each workspace
	must.Nil(t, r.decision)
	must.NoError(t, b.Open(&snipepressure.Account{}, "new", 100))
	must.NotNil(t, r.decision)
	r.close()
}

// TestSteadyReader guards against ending the answer of a caller that reads a little all the while, however
// many bytes of new requests, of their bodies and of other answers do not fit, and against keeping that of
// one beside it that reads nothing.
func TestSteadyReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipepressure.Budget{Bound: bound, MaxUnread: 10 * time.Second}
		steady, none := open(t, b, "w", "steady", 400), open(t, b, "w", "none", 300)
		answer, newcomer := open(t, b, "w", "answer", 100), open(t, b, "v", "newcomer", 0)
		steady.Block(time.Now())
		none.Block(time.Now())
		for n := range 3000 { // 30 s
			time.Sleep(10 * time.Millisecond)
			if n%50 == 49 { // between two readings of the progress, and long before the next one
				steady.progress++
			}
			if n%25 == 0 {
				b.Sweep()
			}
			_ = b.Open(&snipepressure.Account{}, "v", 400)
			must.False(t, newcomer.GrowBody(900))
			must.False(t, answer.Grow(900))
			must.False(t, answer.GrowAhead(900))
		}
		must.Nil(t, steady.decision)
		must.NotNil(t, none.decision)
		must.Between(t, snipepressure.HighGrace, none.decision.Unread, 2*snipepressure.HighGrace)
		steady.close()
		none.close()
	})
}

// TestReadSinceLook guards against ending the answer of a caller that has read since the last look at its
// progress.
func TestReadSinceLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipepressure.Budget{Bound: bound}
		r, answer := open(t, b, "a", "r", 800), open(t, b, "b", "answer", 0)
		r.Block(time.Now())
		for range 3 {
			time.Sleep(snipepressure.HighGrace / 4)
			b.Sweep()
		}
		r.progress++
		time.Sleep(2 * snipepressure.HighGrace / 5) // less than maxProgressAge
		must.False(t, answer.Grow(500))
		must.Nil(t, r.decision)
		r.close()
	})
}

// TestUnread guards against ending a reader that reads slowly but steadily while there is room, and
// against holding an answer without bound for a reader that reads nothing.
func TestUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipepressure.Budget{Bound: bound, MaxUnread: 10 * time.Second}
		steady, none := open(t, b, "w", "", 100), open(t, b, "w", "", 100)
		steady.Block(time.Now())
		none.Block(time.Now())
		for range 60 {
			time.Sleep(time.Second)
			steady.progress++
			b.Sweep()
		}
		must.Nil(t, steady.decision)
		must.NotNil(t, none.decision)
		must.True(t, none.decision.Expired)
		must.Eq(t, 10*time.Second, none.decision.Unread)
		none.close()
		steady.close()
		must.Eq(t, 0, b.Held())
	})
}

// TestRetryAfter guards against refusals that all name the same time, or a time without bound: each
// refused caller gets a later one, spaced by the rate at which bytes are freed.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipepressure.Budget{Bound: bound}
		refused := func() *snipepressure.FullError {
			err := b.Open(&snipepressure.Account{}, "w", 100)
			full, ok := err.(*snipepressure.FullError) //nolint:errorlint // the type is stated
			must.True(t, ok)
			return full
		}
		r := open(t, b, "w", "", 850)
		must.Eq(t, 2500*time.Millisecond, refused().RetryAfter) // nothing was freed yet
		for range 40 {                                          // 100 bytes a second
			time.Sleep(250 * time.Millisecond)
			r.Release(25)
			must.True(t, r.Grow(25))
			b.Sweep()
		}
		last := time.Duration(0)
		for n := range 10 {
			wait := refused().RetryAfter
			must.LessEq(t, 5*time.Second, wait)
			must.Positive(t, wait)
			if n > 0 && n < 4 {
				must.Between(t, 900*time.Millisecond, wait-last, 1100*time.Millisecond)
			}
			last = wait
		}
		must.Eq(t, 5*time.Second, last)
		time.Sleep(10 * time.Second) // nothing is freed
		must.Eq(t, 2500*time.Millisecond, refused().RetryAfter)
		r.close()
	})
}

// TestLevelChanges guards against pressure that is not reported, or reported again and again while the
// bytes held vary about the mark.
func TestLevelChanges(t *testing.T) {
	var levels []snipepressure.Level
	b := &snipepressure.Budget{Bound: bound, LevelChanged: func(now snipepressure.Level, _ int64) { levels = append(levels, now) }}
	r := open(t, b, "w", "", 700)
	for range 5 {
		must.True(t, r.Grow(60))
		b.Sweep()
		r.Release(60)
		b.Sweep()
	}
	must.Eq(t, []snipepressure.Level{snipepressure.High}, levels)
	r.Release(200)
	b.Sweep()
	must.Eq(t, []snipepressure.Level{snipepressure.High, snipepressure.Free}, levels)
	r.close()
}

// TestSeen guards against a workspace that is reported twice or not at all.
func TestSeen(t *testing.T) {
	seen := map[string]int{}
	b := &snipepressure.Budget{Bound: bound, WorkspaceSeen: func(w string) { seen[w]++ }}
	for range 3 {
		for _, w := range []string{"", "a"} {
			open(t, b, w, "", 1).close()
		}
	}
	must.Eq(t, map[string]int{"": 1, "a": 1}, seen)
}

// TestConcurrent guards against a sum above the bound and against bytes that stay counted, while many
// requests open, grow, block, are ended and close at once.
func TestConcurrent(t *testing.T) {
	b := &snipepressure.Budget{Bound: 100_000, MaxUnread: time.Millisecond}
	var all sync.WaitGroup
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				b.Sweep()
			}
		}
	})
	for n := range 16 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			for range 500 {
				var a snipepressure.Account
				a.End = func(snipepressure.Decision) {}
				if b.Open(&a, fmt.Sprint("w", n%3), random.Int64N(8000)) != nil {
					continue
				}
				a.GrowAhead(random.Int64N(8000))
				a.Grow(random.Int64N(8000))
				a.Block(time.Now().Add(-time.Duration(random.Int64N(int64(2 * time.Second)))))
				a.Grow(random.Int64N(8000))
				a.Unblock()
				a.Close()
			}
		})
	}
	all.Wait()
	close(stop)
	watch.Wait()
	must.Eq(t, 0, b.Held())
	for n := range 3 {
		must.Eq(t, 0, b.WorkspaceHeld(fmt.Sprint("w", n)))
	}
	must.True(t, b.Held() <= b.Bound)
	var a snipepressure.Account
	must.NoError(t, b.Open(&a, "w0", 100_000*3/4), must.Sprint("bytes of ended accounts stay counted"))
	a.Close()
}

// BenchmarkRequest measures what a request without pressure costs.
func BenchmarkRequest(b *testing.B) {
	budget := &snipepressure.Budget{Bound: 1 << 40}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		var a snipepressure.Account
		for p.Next() {
			_ = budget.Open(&a, "w", 100_000)
			a.GrowAhead(5000)
			a.Release(5000)
			a.Close()
		}
	})
}

// BenchmarkChoice measures a refusal that finds nothing to end among thousands of blocked answers, and
// one that ends an answer.
func BenchmarkChoice(b *testing.B) {
	for _, count := range []int{1000, 4000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			budget := &snipepressure.Budget{Bound: int64(count) * 100}
			all := make([]snipepressure.Account, count)
			for n := range all {
				all[n].End = func(snipepressure.Decision) {}
				if budget.Open(&all[n], fmt.Sprint("w", n%7), 85) != nil {
					break
				}
				all[n].Block(time.Now().Add(-time.Hour))
			}
			b.ResetTimer()
			for b.Loop() {
				_ = budget.Open(&snipepressure.Account{}, "w0", 1000)
			}
		})
	}
}

// TestReadWhileStopped guards against ending the answer of a caller that has read while the process was
// stopped, before Sweep has noticed it.
func TestReadWhileStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipepressure.Budget{Bound: bound}
		r := open(t, b, "a", "r", 800)
		r.Block(time.Now())
		b.Sweep()
		time.Sleep(2 * snipepressure.HighGrace)
		r.progress++
		open(t, b, "b", "new", 100).close()
		must.Nil(t, r.decision)
		r.close()
	})
}
