package snipesoak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	random "math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// keptConnections is the number of connections that callers keep open through a stop.
	keptConnections = 60
	// acceptTime is how long a stopping instance accepts connections. Each kept connection has a request sent on it
	// within askBefore before the end of this time and askAfter after it.
	acceptTime          = 3 * time.Second
	askBefore, askAfter = 70 * time.Millisecond, 30 * time.Millisecond
	// maxPieceGap bounds the time between the two pieces of a request that is sent in pieces.
	maxPieceGap = 150 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer on a kept connection, which is longer than the stop lasts.
	answerTimeout = stopTimeout + requestTimeout
	// fillerLines is the number of further lines in the heads of whole requests. The longer a head takes to be read, the more
	// often a close falls into that time.
	fillerLines = 500
	// paddedRoutes is the number of further routes in the catalog, which is written again each rewriteInterval.
	paddedRoutes    = 1400
	rewriteInterval = 150 * time.Millisecond
	// pausedTime and runningTime alternate while the instance is starved: it has a seventh of its time, as under a limit of processor
	// time.
	pausedTime, runningTime = 60 * time.Millisecond, 10 * time.Millisecond
	// starveTime is how long the instance is starved before the end of acceptTime, and after it.
	starveTime = 250 * time.Millisecond
	// reloads is the number of signals to reload before a stop and reloadInterval the time between two.
	reloads        = 20
	reloadInterval = 10 * time.Millisecond
)

// askedStopFault stops an instance as planned and asks it on kept connections meanwhile.
var askedStopFault = fault{"a stop with requests on kept connections", stopAsked}

func (s *Soak) asksInStops() bool { return rangeOf(s.Seed).asksInStops }

// unanswered is a request that ended without a byte of an answer, though its caller had not left.
type unanswered struct {
	id, instance string
	sent, ended  time.Time
	err          error
}

// keptRequest is a request that is sent on a connection that was opened before a stop.
type keptRequest struct {
	kind    requestKind
	adapter int
	// used is set if the connection has served another request before.
	used bool
	// at is when the request is sent, and gap the time between its two pieces; zero if it has one.
	at  time.Time
	gap time.Duration
}

func stopAsked(s *Soak, r *random.Rand, _ time.Duration) string {
	i := s.pickInstance(r)
	i.faultLock.Lock()
	defer i.faultLock.Unlock()
	defer s.disturbAsPlanned(i.name)()
	var connections [keptConnections]net.Conn
	var opened, asked sync.WaitGroup
	for n := range connections {
		kind := requestKinds[r.IntN(len(requestKinds))]
		opened.Go(func() { connections[n] = s.openKept(i, kind, n%4 != 0) })
	}
	opened.Wait()
	for range reloads {
		i.signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
	}
	i.signal(syscall.SIGTERM)
	closed := time.Now().Add(acceptTime)
	for n, c := range connections {
		q := keptRequest{kind: requestKinds[r.IntN(len(requestKinds))], adapter: r.IntN(s.adapterCount()), used: n%4 != 0}
		q.at = closed.Add(time.Duration(r.Int64N(int64(askBefore+askAfter))) - askBefore)
		if n%4 == 1 {
			q.gap = time.Duration(r.Int64N(int64(maxPieceGap)))
		}
		if c != nil {
			asked.Go(func() { s.askKept(i, c, q) })
		}
	}
	time.Sleep(time.Until(closed.Add(-starveTime)))
	i.starve(closed.Add(starveTime))
	i.wait()
	asked.Wait()
	s.restart(i)
	return i.name
}

// starve lets the process run for a part of the time only, until a given time.
func (i *instance) starve(until time.Time) {
	for time.Now().Before(until) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(pausedTime)
		i.signal(syscall.SIGCONT)
		time.Sleep(runningTime)
	}
}

// openKept opens a connection to an instance and, if it is to be used, has a request answered on it. It returns nil if that fails
// or the connection is not kept open.
func (s *Soak) openKept(i *instance, k requestKind, used bool) net.Conn {
	c, err := net.DialTimeout("tcp", i.callers.String(), requestTimeout)
	if err != nil {
		return nil
	}
	if used && !s.ask(i, c, keptRequest{kind: k, used: true}) {
		_ = c.Close()
		return nil
	}
	return c
}

// askKept sends a request on a connection in its time, and closes the connection after the answer.
func (s *Soak) askKept(i *instance, c net.Conn, q keptRequest) {
	defer func() { _ = c.Close() }()
	time.Sleep(time.Until(q.at))
	s.ask(i, c, q)
}

// ask sends a request on a connection and checks the answer. It reports whether the connection stays open.
func (s *Soak) ask(i *instance, c net.Conn, q keptRequest) bool {
	id := newID()
	r, err := s.newRequest(context.Background(), i, q.kind, sent{id: id, path: id, body: "order " + id, key: key, adapter: q.adapter})
	if err != nil {
		s.breach("the soak itself", "%v", err)
		return false
	}
	for n := range fillerLines {
		if q.gap == 0 {
			r.Header.Set(fmt.Sprint("F-", n), "1")
		}
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		s.breach("the soak itself", "%v", err)
		return false
	}
	u := unanswered{id: id, instance: i.name, sent: time.Now()}
	s.lock.Lock()
	s.requests[id] = callerRequest{id: id, kind: q.kind}
	s.sentTimes[q.kind.service()] = append(s.sentTimes[q.kind.service()], u.sent)
	s.lock.Unlock()
	_ = c.SetDeadline(u.sent.Add(answerTimeout))
	answer, err := sendInPieces(c, text.Bytes(), q.gap)
	if err != nil {
		s.lock.Lock()
		defer s.lock.Unlock()
		u.err = err
		s.noteUnanswered(u)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	s.checkAnswer(id, outcome{kind: q.kind, request: id}, answer, string(data), err)
	return err == nil && !answer.Close
}

// sendInPieces sends a request, with a pause in its head if the gap is not zero, and returns the answer.
func sendInPieces(c net.Conn, text []byte, gap time.Duration) (*http.Response, error) {
	if gap > 0 {
		first := bytes.Index(text, []byte("\r\n\r\n")) - 1
		// An error of a write does not end the exchange: the answer may have been sent before.
		_, _ = c.Write(text[:first])
		time.Sleep(gap)
		text = text[first:]
	}
	_, _ = c.Write(text)
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// noteUnanswered records a request that got no answer. A caller that has left by itself gets none. The lock is held.
func (s *Soak) noteUnanswered(u unanswered) {
	if errors.Is(u.err, context.Canceled) || errors.Is(u.err, context.DeadlineExceeded) {
		return
	}
	u.ended = time.Now()
	s.unanswered = append(s.unanswered, u)
}

// rewriteCatalog writes new versions of the catalog until ctx ends.
func (s *Soak) rewriteCatalog(ctx context.Context) {
	for snipetime.Sleep(ctx, rewriteInterval) {
		changeSettings(s, nil, 0)
	}
}

// padCatalog adds routes that nobody uses to the catalogs of seeds that ask in stops.
func (s *Soak) padCatalog(d *snipestand.Declared) {
	if !s.asksInStops() {
		return
	}
	for n := range paddedRoutes {
		d.Routes = append(d.Routes, declaredRoute(fmt.Sprint("/unused-", n, "/"), snipestand.RouteIdempotent, plainService, false))
	}
}

// unplannedWithin reports whether an instance was disturbed within a span of time, or less than disturbanceGrace before, by
// something else than planned work.
func (s *Soak) unplannedWithin(name string, from, to time.Time) bool {
	for _, d := range s.disturbances[name] {
		if !d.planned && to.After(d.begin) && from.Before(d.end.Add(disturbanceGrace)) {
			return true
		}
	}
	return false
}

// auditUnanswered checks that each request that reached an upstream was answered unless its instance was disturbed by something
// else than planned work. A request that reached none may have crossed the close of its connection.
func (s *Soak) auditUnanswered(ran map[string]int) {
	crossed := 0
	for _, u := range s.unanswered {
		switch {
		case s.unplannedWithin(u.instance, u.sent, u.ended):
		case ran[u.id] == 0:
			crossed++
		default:
			s.breach("what was passed on is answered", "LOST: %s %s at %s, sent %s, ended %s: %v", s.requests[u.id].kind, u.id, u.instance,
				u.sent.Format(stampFormat), u.ended.Format(stampFormat), u.err)
		}
	}
	// An error from writing the log of faults does not affect the run.
	_, _ = fmt.Fprintf(s.Out, "%d requests without an answer, %d of them at no upstream and at instances that worked as planned\n", len(s.unanswered), crossed)
	for _, i := range s.instances {
		s.auditClosed(i.name)
	}
}

// stampFormat is that of instances' logs.
const stampFormat = "15:04:05.000"

// closedLine is a line of an instance's log.
type closedLine struct {
	Name     string
	Listener string
	Stopping bool
	Time     time.Time `json:"time"`
}

// auditClosed checks that an instance has closed no connection with a request and without an answer in a planned stop.
func (s *Soak) auditClosed(name string) {
	data, err := os.ReadFile(s.logPath(name))
	if err != nil {
		s.breach("the soak itself", "%v", err)
		return
	}
	for line := range strings.Lines(string(data)) {
		var l closedLine
		// Lines that are not of the log, as those of a process that crashed, are passed over.
		if json.Unmarshal([]byte(line), &l) != nil || l.Name != "RequestUnanswered" || !l.Stopping || s.unplannedWithin(name, l.Time, l.Time) {
			continue
		}
		s.breach("a stop closes no connection with a request", "%s at %s: %s", name, l.Time.Format(stampFormat), l.Listener)
	}
}
