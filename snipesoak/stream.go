package snipesoak

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	random "math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// versionedEngines is the number of engines of seeds that judge software versions; two run each of two
	// versions at first. Their streams have versionedEvents events, versionedInterval apart.
	versionedEngines  = 4
	versionedEvents   = 40
	versionedInterval = 25 * time.Millisecond
	// streamAttempts bounds the attempts of a caller for one stream, streamPause is the time between two.
	streamAttempts = 3
	streamPause    = 300 * time.Millisecond
	// A caller leaves in the middle of one stream in leavesOneIn, and takes it up elsewhere.
	leavesOneIn = 3
	// leaveTime is how long an engine leaves before it is replaced by one with other software.
	leaveTime = 800 * time.Millisecond
	// minTakenUp is the number of streams that must have been taken up for the shares to be judged, and
	// minGoOnShare the part of the share of new streams that begin that must go on.
	minTakenUp   = 12
	minGoOnShare = 0.5
)

// softwareVersions are the versions that engines run.
var softwareVersions = []string{"s1", "s2", "s3"}

// streamAttempt is an attempt for a stream: one that begins it, or the first that takes it up.
type streamAttempt struct {
	at       time.Time
	instance string
	takesUp  bool
	goesOn   bool
	// serving are the engines that served at the time, for an attempt that takes up those of its version.
	serving []string
}

// StreamCounts counts the attempts at undisturbed instances: those to begin a stream and those of them that did, and
// those to take one up while two engines of its version served and those of them that brought events.
type StreamCounts struct {
	Tried, Begun, TakenUp, WentOn int
}

func (s *Soak) judgesVersions() bool { return rangeOf(s.Seed).versions }

// engines returns the number of engines.
func (s *Soak) engines() int {
	if s.judgesVersions() {
		return versionedEngines
	}
	return engineCount
}

// streamEvents returns the number of events of a stream.
func (s *Soak) streamEvents() int {
	switch {
	case s.judgesVersions():
		return versionedEvents
	case s.silencesUpstreams():
		return silentEvents
	default:
		return events
	}
}

// setSoftware sets the software version and the streams of the n-th upstream.
func (s *Soak) setSoftware(r *runner, n int) {
	if s.judgesVersions() {
		r.Software = softwareVersions[n/2%2]
		r.Events, r.EventInterval = versionedEvents, versionedInterval
	}
	if s.silencesUpstreams() {
		r.Events, r.EventInterval = silentEvents, silentInterval
	}
}

// softwareSuffix is the software version in the data of an event.
var softwareSuffix = regexp.MustCompile(`(?m) s\d$`)

// withoutSoftware returns events without software versions.
func withoutSoftware(body string) string { return softwareSuffix.ReplaceAllString(body, "") }

// releaseFault replaces an engine by one with other software.
var releaseFault = fault{"a release", releaseSoftware}

func releaseSoftware(s *Soak, r *random.Rand, _ time.Duration) string {
	n := r.IntN(s.engines())
	return s.release(n, softwareVersions[r.IntN(len(softwareVersions))])
}

// release replaces the n-th engine by one with the given software, after it has left.
func (s *Soak) release(n int, software string) string {
	u, link := s.runners[n], s.cutter.Links[s.Instances+n].Listen
	defer s.disturb(u.ID)()
	u.Drain()
	time.Sleep(leaveTime)
	if err := s.cutter.Cut(link, snipestand.CutDown); err != nil {
		s.breach("the soak itself", "release: %v", err)
	}
	u.Replace(software)
	for s.cutter.Cut(link, snipestand.CutNone) != nil {
		time.Sleep(mendInterval)
	}
	return u.ID + " " + software
}

// heldStream is what a caller has of a stream.
type heldStream struct {
	first    string // the attempt that brought the first event
	events   int
	software string
}

// readStream reads a stream, and takes it up at other instances when it breaks off.
func (s *Soak) readStream(ctx context.Context, i *instance, r *random.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var h heldStream
	adapter := r.IntN(s.adapterCount())
	for n := range streamAttempts {
		before := h.events
		a := streamAttempt{at: time.Now(), instance: i.name, takesUp: before > 0, serving: s.serving(h.software)}
		until := s.streamEvents()
		if n == 0 && r.IntN(leavesOneIn) == 0 {
			until = 1 + r.IntN(until)
		}
		answered := s.readMore(ctx, i, adapter, &h, until)
		if a.goesOn = h.events > before; answered && (n == 0 || a.takesUp && n == 1) {
			s.lock.Lock()
			s.streams = append(s.streams, a)
			s.lock.Unlock()
		}
		if h.events == s.streamEvents() || h.events == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(streamPause)
		targets := *s.targets.Load()
		i = targets[r.IntN(len(targets))]
	}
}

// serving returns the engines that serve with a software version.
func (s *Soak) serving(software string) []string {
	var ids []string
	for _, u := range s.runners[:s.engines()] {
		if v, serves := u.CurrentSoftware(); serves && v == software {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// readMore makes an attempt for the rest of a stream, reads until it holds a number of events, and reports whether
// the instance answered.
func (s *Soak) readMore(ctx context.Context, i *instance, adapter int, h *heldStream, until int) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := rand.Text()
	q, err := s.newRequest(ctx, i, requestKind{prefix: "/draft/", stream: true}, sent{id: id, path: "stream", body: "stream", key: key, adapter: adapter})
	if err != nil {
		s.breach("the soak itself", "%v", err)
		return false
	}
	if h.events > 0 {
		q.Header.Set("Last-Event-Id", strconv.Itoa(h.events))
		q.Header.Set("Resumes", h.first)
	}
	answer, err := s.do(q, requestKind{prefix: "/draft/", stream: true}, id)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
		s.readEvents(answer, id, h, until)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	default:
		s.breach("proper requests are not denied", "%s: status %d", id, answer.StatusCode)
	}
	return true
}

// readEvents reads events until the caller holds a number of them, and checks that each follows the last one and is of the same software version.
func (s *Soak) readEvents(answer *http.Response, id string, h *heldStream, until int) {
	lines := bufio.NewScanner(answer.Body)
	for h.events < until && lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data: token ")
		if !found {
			continue
		}
		number, software, _ := strings.Cut(text, " ")
		if number != fmt.Sprint(h.events+1) {
			s.breach("each event once, in order", "%s after %s: %q after %d", id, h.first, text, h.events)
			return
		}
		if h.events == 0 {
			h.first, h.software = id, software
		}
		h.events++
		if software != h.software {
			s.breach("one software version a stream", "%s after %s: event %d of %s after %s", id, h.first, h.events, software, h.software)
			return
		}
	}
}

// auditStreams checks that the streams that were taken up go on as new ones begin, at instances that are not
// disturbed, while two engines of their version serve.
func (s *Soak) auditStreams() {
	t := &s.Streams
	for _, a := range s.streams {
		switch {
		case s.disturbed(a.instance, a.at):
		case !a.takesUp:
			t.Tried++
			t.Begun += count(a.goesOn)
		case s.undisturbed(a.serving, a.at) >= 2:
			t.TakenUp++
			t.WentOn += count(a.goesOn)
		}
	}
	if t.TakenUp < minTakenUp || t.Tried == 0 {
		return
	}
	if share := float64(t.Begun) / float64(t.Tried); float64(t.WentOn) < minGoOnShare*share*float64(t.TakenUp) {
		s.breach("streams that can go on do", "%+v", *t)
	}
}

// undisturbed returns how many of the upstreams were not disturbed at a time.
func (s *Soak) undisturbed(upstreams []string, at time.Time) int {
	n := 0
	for _, id := range upstreams {
		n += count(!s.disturbed(id, at))
	}
	return n
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
