package snipeentry_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipestand"
)

// silentCluster is an instance, two engines and two plain upstreams, of which one can be made silent.
type silentCluster struct {
	*testCluster
	silence snipestand.Silence
	one     *instance
}

const (
	// silencedEvents is the number of events of a stream, which lasts five seconds.
	silencedEvents = 50
	// workedEvents is the number of events of a stream that begins after a time of work.
	workedEvents = 3
)

// startSilentCluster starts a silentCluster whose upstream of the given name can be made silent and works on a request for a
// time before it answers.
func startSilentCluster(t *testing.T, silenced string, work time.Duration) *silentCluster {
	s := &silentCluster{}
	s.testCluster = startTestCluster(t, 100*time.Millisecond, twoOfEach(), func(r *snipestand.Runner) {
		if r.ID == silenced {
			r.SetWork(work)
			r.Address = s.serveSilenced(t, r.Handler())
			return
		}
		r.Address = serve(t, r.Handler()).String()
	})
	for _, r := range s.runners {
		r.Events = silencedEvents
		if work > 0 {
			r.Events = workedEvents
		}
	}
	s.dial = s.silence.Dialer(netip.MustParseAddrPort(s.runners[silenced].Address), snipelink.Dialer())
	s.declare(1)
	s.one = s.start("one")
	waitServing(t, s.one)
	waitRetrySlack(t, []*instance{s.one})
	return s
}

// askCutInstance has callers ask another instance, which reaches no upstream.
func (s *silentCluster) askCutInstance() {
	s.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	s.one = s.start("asked", func(settings *snipeentry.Settings) { settings.Seeds = []netip.AddrPort{s.one.Settings.Peers} })
	waitServing(s.t, s.one)
	waitRetrySlack(s.t, []*instance{s.one})
}

func (s *silentCluster) serveSilenced(t *testing.T, h http.Handler) string {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	silenced, err := s.silence.Listener(l)
	must.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(silenced) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// engineRun is a run of a request at one of the engines.
type engineRun struct {
	engine string
	snipestand.Run
}

// runsOf returns the runs of a request at the engines, in the order of their beginning.
func (s *testCluster) runsOf(id string) []engineRun {
	var all []engineRun
	for name, r := range s.runners {
		for _, run := range r.Runs() {
			if run.Request == id {
				all = append(all, engineRun{name, run})
			}
		}
	}
	slices.SortFunc(all, func(a, b engineRun) int { return a.Begun.Compare(b.Begun) })
	return all
}

// handoverTime is how long an engine may still work on a stream that goes on at another one.
const handoverTime = 400 * time.Millisecond

// checkHandovers checks that no stream went on at an engine while an earlier one still worked on it, after handoverTime.
func (s *testCluster) checkHandovers(id string) {
	s.t.Helper()
	runs := s.runsOf(id)
	for n, later := range runs {
		for _, earlier := range runs[:n] {
			late := later.Begun.Add(handoverTime)
			if later.After > 0 && (earlier.Ended.IsZero() || earlier.Ended.After(late)) {
				s.t.Errorf("%s goes on at %s after event %d while %s still works on it: %v", id, later.engine, later.After, earlier.engine, runs)
			}
		}
	}
}

// readSilenced has streams read from the instance, makes the first engine silent in the middle of them, and returns the
// replies by the identifiers of the requests when all runs have ended.
func (s *silentCluster) readSilenced(silence time.Duration) map[string]reply {
	replies, _ := s.sendSilenced("/draft/x", silence, modelHeader, "base")
	return replies
}

// sendSilenced is readSilenced for any requests. It also returns when the first engine could be reached again.
func (s *silentCluster) sendSilenced(target string, silence time.Duration, header ...string) (map[string]reply, time.Time) {
	var lock sync.Mutex
	replies := map[string]reply{}
	var all sync.WaitGroup
	for range silencedStreams {
		all.Go(func() {
			a, id := send(s.t, s.one.url, http.MethodPost, target, "text", header...)
			lock.Lock()
			defer lock.Unlock()
			replies[id] = a
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	s.silence.Set(true)
	time.Sleep(silence)
	s.silence.Set(false)
	reachable := time.Now()
	all.Wait()
	ended := func(r engineRun) bool { return !r.Ended.IsZero() }
	for id := range replies {
		eventually(s.t, func() bool { return !slices.ContainsFunc(s.runsOf(id), func(r engineRun) bool { return !ended(r) }) })
	}
	return replies, reachable
}

const silencedStreams = 12

// TestSilentStreamRunsOnce guards against a stream that goes on at another engine while the first one, which was silent
// and has not learned that its connection has ended, still works on it.
func TestSilentStreamRunsOnce(t *testing.T) {
	tests := map[string]struct {
		silence time.Duration
		// byHop is set if the instance that the callers ask reaches no upstream.
		byHop bool
	}{
		"TwoSeconds": {2100 * time.Millisecond, false},
		"Short":      {3100 * time.Millisecond, false},
		"Longer":     {3300 * time.Millisecond, false},
		"Long":       {4 * time.Second, false},
		"ShortByHop": {3100 * time.Millisecond, true},
		"LongByHop":  {4 * time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSilentCluster(t, "e1", 0)
			if tt.byHop {
				s.askCutInstance()
			}
			whole := 0
			for id, a := range s.readSilenced(tt.silence) {
				s.checkHandovers(id)
				must.Eq(t, http.StatusOK, a.status)
				if events := strings.Count(a.body, "id:"); a.err == nil {
					must.Eq(t, silencedEvents, events, must.Sprint("a stream that broke off looks whole"))
					whole++
				}
			}
			must.GreaterEq(t, silencedStreams/6, whole, must.Sprint("streams of the other engine"))
		})
	}
}

// TestSilentSecond guards against streams of a sound upstream that are ended, or sent again, because its network was
// silent for a second or so.
func TestSilentSecond(t *testing.T) {
	for _, silence := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			s := startSilentCluster(t, "e1", 0)
			for id, a := range s.readSilenced(silence) {
				must.NoError(t, a.err)
				must.Eq(t, silencedEvents, strings.Count(a.body, "id:"))
				must.Len(t, 1, s.runsOf(id))
			}
		})
	}
}

// checkRunsEnd checks that no earlier run of a request lasts longer than handoverTime beside a later one once its engine can be
// reached again.
func (s *silentCluster) checkRunsEnd(id string, reachable time.Time) {
	s.t.Helper()
	runs := s.runsOf(id)
	for n, later := range runs {
		from := later.Begun
		if reachable.After(from) {
			from = reachable
		}
		for _, earlier := range runs[:n] {
			if beside := earlier.Ended.Sub(from); beside > handoverTime {
				s.t.Errorf("%s runs at %s while %s, which can be reached, works on for %v", id, later.engine, earlier.engine, beside)
			}
		}
	}
}

// TestSilentRunIsEnded guards against a request that is sent to another upstream before its answer has begun, while the first
// upstream, which was silent and has not learned that its connection has ended, works on when it can be reached again.
func TestSilentRunIsEnded(t *testing.T) {
	tests := map[string]struct {
		silence time.Duration
		plain   bool
		// byHop is set if the instance that the callers ask reaches no upstream.
		byHop bool
	}{
		"Short":      {2700 * time.Millisecond, false, false},
		"Longer":     {3100 * time.Millisecond, false, false},
		"Long":       {3500 * time.Millisecond, false, false},
		"ByHop":      {3100 * time.Millisecond, false, true},
		"PlainShort": {2700 * time.Millisecond, true, false},
		"PlainLong":  {3500 * time.Millisecond, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silenced, target, header := "e1", "/draft/x", []string{modelHeader, "base"}
			if tt.plain {
				silenced, target, header = "p1", "/often/x", nil
			}
			s := startSilentCluster(t, silenced, 5500*time.Millisecond)
			if tt.byHop {
				s.askCutInstance()
			}
			replies, reachable := s.sendSilenced(target, tt.silence, header...)
			again := 0
			for id, a := range replies {
				s.checkRunsEnd(id, reachable)
				must.Eq(t, http.StatusOK, a.status)
				again += len(s.runsOf(id)) - 1
			}
			must.Positive(t, again, must.Sprint("requests that were sent again"))
		})
	}
}
