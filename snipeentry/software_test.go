package snipeentry_test

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	// softwareStreams is the number of streams of one case, streamEvents the number of events of each.
	softwareStreams = 20
	streamEvents    = 60
	// takenUpShare is the share of the streams that were taken up, and can go on, that must go on.
	takenUpShare = 0.9
	// refusalTime is how soon a caller must hear that its stream cannot go on.
	refusalTime = time.Second
)

// softwareCluster is a cluster whose engines run several software versions.
type softwareCluster struct {
	*cutCluster
}

// startSoftwareCluster starts two engines of each of the versions, and instances in different failure domains.
func startSoftwareCluster(t *testing.T, instances int, versions ...string) *softwareCluster {
	var runners []*snipestand.Runner
	for _, v := range versions {
		for n := range 2 {
			runners = append(runners, &snipestand.Runner{ID: v + "-" + strconv.Itoa(n), Service: "engines", Model: "base", Software: v})
		}
	}
	runners = append(runners, &snipestand.Runner{ID: "p1", Service: "plain"})
	cluster := startTestCluster(t, 25*time.Millisecond, runners, func(r *snipestand.Runner) { r.Address = serve(t, r.Handler()).String() })
	for _, r := range runners {
		r.Events = streamEvents
	}
	s := &softwareCluster{&cutCluster{testCluster: cluster}}
	s.declare(1)
	for n := range instances {
		s.startOne(n)
	}
	for _, i := range s.instances {
		waitServing(t, i)
	}
	s.waitVersions(versions, s.instances)
	return s
}

// startOne starts an instance in a failure domain of its own, which knows those that were started before.
func (s *softwareCluster) startOne(n int) {
	l := &cutLinks{}
	s.dial = l.dial
	var seeds []netip.AddrPort
	for _, other := range s.instances {
		seeds = append(seeds, other.Settings.Peers)
	}
	i := s.start("i"+strconv.Itoa(n), func(settings *snipeentry.Settings) {
		settings.Domain, settings.Seeds = "d"+strconv.Itoa(n%3), seeds
	})
	s.links, s.instances = append(s.links, l), append(s.instances, i)
}

// waitVersions waits until streams begin at each version, through each of the instances.
func (s *softwareCluster) waitVersions(versions []string, instances []*instance) {
	s.t.Helper()
	for _, i := range instances {
		eventually(s.t, func() bool {
			got := s.read(func(_ int, c *streamCaller) { c.readUntil(i, 10) })
			return len(got.began) == len(versions)
		})
	}
}

func (s *softwareCluster) caller() *streamCaller {
	return &streamCaller{t: s.t, target: "/draft/x", header: []string{modelHeader, "base"}, total: streamEvents}
}

// read runs callers side by side, each with its number.
func (s *softwareCluster) read(each func(n int, c *streamCaller)) streamTally {
	callers := make([]*streamCaller, softwareStreams)
	var all sync.WaitGroup
	for n := range callers {
		callers[n] = s.caller()
		all.Go(func() { each(n, callers[n]) })
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	return tally(callers)
}

// others returns the instances after the first ones.
func (s *softwareCluster) others(first int) []*instance { return s.instances[first:] }

// checkTally checks that no stream holds events of two versions, and that those that were taken up went on.
func checkTally(t *testing.T, got streamTally, goOn bool) {
	t.Helper()
	t.Log(got.begun, "begun", got.began, got.taken, "taken up,", got.whole, "whole,", got.mixed, "of two versions", got.refused)
	must.Eq(t, softwareStreams, got.begun)
	must.Eq(t, 0, got.mixed, must.Sprint("streams with events of two software versions"))
	must.Eq(t, 0, got.gaps)
	for _, r := range got.refused {
		must.Less(t, refusalTime, r.took, must.Sprint(r))
		must.Eq(t, http.StatusServiceUnavailable, r.status, must.Sprint(r))
	}
	if goOn {
		must.GreaterEq(t, takenUpShare*float64(got.begun), float64(got.whole))
	}
}

// TestStreamsKeepSoftware guards against streams that go on at another software version than the one that began
// them, and against streams that do not go on although upstreams of their version serve.
func TestStreamsKeepSoftware(t *testing.T) {
	both := []string{"v1", "v2"}
	tests := map[string]struct {
		instances int
		versions  []string
		// play plays the case and returns what callers saw.
		play func(s *softwareCluster) streamTally
		// refused is set if the streams may be refused.
		refused bool
	}{
		"CallerLeaves": {3, both, func(s *softwareCluster) streamTally {
			return s.read(func(n int, c *streamCaller) {
				c.readUntil(s.instances[n%3], 10)
				c.takeUp(s.instances[(n+1)%3], s.instances[(n+2)%3])
			})
		}, false},
		"InstanceKilled": {3, both, func(s *softwareCluster) streamTally { return s.killWhileReading(1, 700*time.Millisecond) }, false},
		"KilledSoon":     {3, both, func(s *softwareCluster) streamTally { return s.killWhileReading(1, 150*time.Millisecond) }, false},
		"KilledSooner":   {3, both, func(s *softwareCluster) streamTally { return s.killWhileReading(1, 100*time.Millisecond) }, false},
		"TwoOfSixKilled": {6, both, func(s *softwareCluster) streamTally { return s.killWhileReading(2, 150*time.Millisecond) }, false},
		"StoreSilent": {3, both, func(s *softwareCluster) streamTally {
			s.store.SetMode(snipestand.StoreSilent)
			time.Sleep(5 * time.Second)
			return s.killWhileReading(1, 150*time.Millisecond)
		}, false},
		"JustStarted": {3, both, func(s *softwareCluster) streamTally {
			s.startOne(3)
			eventually(s.t, s.instances[3].isReady)
			return s.read(func(n int, c *streamCaller) {
				c.readUntil(s.instances[n%3], 10)
				c.takeUp(s.instances[3])
			})
		}, false},
		"ResumedHere": {3, both, func(s *softwareCluster) streamTally {
			time.AfterFunc(700*time.Millisecond, func() { s.breakStreams("v1-0") })
			return s.read(func(n int, c *streamCaller) {
				c.readUntil(s.instances[n%3], c.total)
				c.takeUp(s.instances[(n+1)%3])
			})
		}, false},
		"ByHop": {3, both, func(s *softwareCluster) streamTally {
			s.cut(1, linksReset)
			time.Sleep(contactTime)
			return s.read(func(n int, c *streamCaller) {
				c.readUntil(s.instances[n%3], 10)
				c.takeUp(s.instances[(n+1)%3])
			})
		}, false},
		"VersionGone": {3, both, func(s *softwareCluster) streamTally {
			return s.read(func(n int, c *streamCaller) {
				c.readUntil(s.instances[n%3], 20)
				s.leave("v1-0", "v1-1")
				time.Sleep(2 * time.Second)
				c.takeUp(s.instances[(n+1)%3])
			})
		}, true},
		"AllKilled": {3, both, func(s *softwareCluster) streamTally { return s.restartWhileReading(func() {}) }, false},
		"AllKilledSoon": {3, both, func(s *softwareCluster) streamTally {
			return s.restartAfter(400*time.Millisecond, func() {})
		}, false},
		"OneAllKilled": {3, []string{"v1"}, func(s *softwareCluster) streamTally { return s.restartWhileReading(func() {}) }, false},
		"OneStoreSilent": {3, []string{"v1"}, func(s *softwareCluster) streamTally {
			s.store.SetMode(snipestand.StoreSilent)
			time.Sleep(5 * time.Second)
			return s.killWhileReading(1, 150*time.Millisecond)
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSoftwareCluster(t, tt.instances, tt.versions...)
			checkTally(t, tt.play(s), !tt.refused)
		})
	}
}

// killWhileReading has callers read at the first instances, kills these a time after the first event of the last stream
// was read, and has the callers take up their streams at the others.
func (s *softwareCluster) killWhileReading(count int, after time.Duration) streamTally {
	var begun sync.WaitGroup
	begun.Add(softwareStreams)
	go func() {
		begun.Wait()
		time.Sleep(after)
		for _, i := range s.instances[:count] {
			i.kill()
		}
	}()
	others := s.others(count)
	return s.read(func(n int, c *streamCaller) {
		c.begun = begun.Done
		c.readUntil(s.instances[n%count], c.total)
		time.Sleep(returnPause)
		c.takeUp(others[n%len(others)], others[(n+1)%len(others)])
	})
}

// restartWhileReading has callers read, kills all instances and starts them again, and has the callers take up
// their streams. whileDown is called while no instance runs.
func (s *softwareCluster) restartWhileReading(whileDown func()) streamTally {
	return s.restartAfter(900*time.Millisecond, whileDown)
}

// restartAfter is restartWhileReading with the instances killed a time after the first caller has begun.
func (s *softwareCluster) restartAfter(d time.Duration, whileDown func()) streamTally {
	restarted := make(chan struct{})
	old := slices.Clone(s.instances)
	time.AfterFunc(d, func() {
		defer close(restarted)
		for _, i := range old {
			i.kill()
			s.t.Log("killed:", <-i.ended)
		}
		whileDown()
		for n, i := range old {
			s.dial = s.links[n].dial
			s.instances[n] = s.run(i.Settings, nil)
		}
	})
	return s.read(func(n int, c *streamCaller) {
		c.readUntil(old[n%3], c.total)
		<-restarted
		eventually(s.t, s.instances[(n+1)%3].isReady)
		c.takeUp(s.instances[(n+1)%3])
	})
}

// leave has upstreams leave.
func (s *softwareCluster) leave(ids ...string) {
	for _, id := range ids {
		s.runners[id].Drain()
	}
}

// breakStreams breaks the connections of all instances to an upstream once.
func (s *softwareCluster) breakStreams(id string) {
	address := netip.MustParseAddrPort(s.runners[id].Address)
	for _, l := range s.links {
		l.closeTo(address)
	}
}

// TestTakenUpAfterKill guards against streams whose text is joined from two software versions, because all instances were
// killed and those that start do not know at which version a stream began.
func TestTakenUpAfterKill(t *testing.T) {
	oldLeaves := func(s *softwareCluster) { s.leave("v1-0", "v1-1") }
	oldGone := func(s *softwareCluster) {
		for _, id := range []string{"v1-0", "v1-1"} {
			s.runners[id].Replace("v2")
		}
	}
	tests := map[string]struct {
		versions []string
		// serves lists the versions that serve when the streams are taken up.
		serves []string
		// before and whileDown are called before streams begin, and while no instance runs.
		before, whileDown func(s *softwareCluster)
	}{
		"OldLeft":       {[]string{"v1", "v2"}, []string{"v2"}, func(s *softwareCluster) { oldLeaves(s); time.Sleep(time.Second) }, nil},
		"OldLeaves":     {[]string{"v1", "v2"}, []string{"v2"}, nil, oldLeaves},
		"OldGone":       {[]string{"v1", "v2"}, []string{"v2"}, nil, oldGone},
		"NewJoins":      {[]string{"v1"}, []string{"v1"}, nil, func(s *softwareCluster) { s.runners["v1-1"].Replace("v2") }},
		"OneToOther":    {[]string{"v1"}, nil, nil, oldGone},
		"StoreSilent":   {[]string{"v1", "v2"}, []string{"v1", "v2"}, nil, func(s *softwareCluster) { s.silenceStore(2 * time.Second) }},
		"GoneInSilence": {[]string{"v1", "v2"}, []string{"v2"}, nil, func(s *softwareCluster) { oldGone(s); s.silenceStore(2 * time.Second) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSoftwareCluster(t, 3, tt.versions...)
			if tt.before != nil {
				tt.before(s)
			}
			got := s.restartWhileReading(func() {
				if tt.whileDown != nil {
					tt.whileDown(s)
				}
			})
			checkTally(t, got, false)
			goOn := 0
			for _, v := range tt.serves {
				goOn += got.began[v]
			}
			must.GreaterEq(t, takenUpShare*float64(goOn), float64(got.whole), must.Sprint("streams whose version serves"))
		})
	}
}

// silenceStore makes the store silent for a while from now on.
func (s *softwareCluster) silenceStore(d time.Duration) {
	s.store.SetMode(snipestand.StoreSilent)
	time.AfterFunc(d, func() { s.store.SetMode(snipestand.StoreNormal) })
}

// TestTakenUpByOthers guards against a stream that somebody else takes up, and against an answer from which more can be
// learned than from one to nonsense.
func TestTakenUpByOthers(t *testing.T) {
	t.Parallel()
	s := startSoftwareCluster(t, 2, "v1", "v2")
	first := s.caller()
	first.readUntil(s.instances[0], 10)
	must.NotEq(t, "", first.first)
	tests := map[string]struct {
		target, model, resumes, lastEvent string
		status                            int
	}{
		"Mine":         {"/draft/x", "base", first.first, "10", http.StatusOK},
		"OtherAdapter": {"/draft/x", "base/a1", first.first, "10", http.StatusServiceUnavailable},
		"Nonsense":     {"/draft/x", "base", "nonsense", "10", http.StatusServiceUnavailable},
		"NotNamed":     {"/draft/x", "base", "", "10", http.StatusServiceUnavailable},
		"TooLong":      {"/draft/x", "base", strings.Repeat("x", 300), "10", http.StatusBadRequest},
		"NothingHad":   {"/draft/x", "base", first.first, "", http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			header := []string{modelHeader, tt.model}
			if tt.resumes != "" {
				header = append(header, "Resumes", tt.resumes)
			}
			if tt.lastEvent != "" {
				header = append(header, "Last-Event-Id", tt.lastEvent)
			}
			begun := time.Now()
			a, id := send(t, s.instances[1].url, http.MethodPost, tt.target, "text", header...)
			must.Eq(t, tt.status, a.status, must.Sprint(a.body))
			if tt.status != http.StatusOK {
				must.Less(t, refusalTime, time.Since(begun))
				must.Eq(t, "", a.header.Get("Retry-After"))
				must.Eq(t, 0, s.total(id))
			}
		})
	}
}
