package snipeentry_test

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// lateRequest is a request in a planned stop. Its times count from the beginning of the stop.
type lateRequest struct {
	target, header string
	// opened is when its connection is opened, head when its head is sent, body when its body is.
	opened, head, body time.Duration
}

// lateReply is what the caller of a lateRequest has received.
type lateReply struct {
	id         string
	status     int
	retryAfter string
	body       string
	// err is nil if the answer is whole.
	err error
}

// send sends the request to an instance and reads its answer.
func (q lateRequest) send(i *instance, stopped time.Time) lateReply {
	a := lateReply{id: rand.Text()}
	time.Sleep(time.Until(stopped.Add(q.opened)))
	c, err := net.Dial("tcp", i.Settings.Callers.String())
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	const text = "text"
	time.Sleep(time.Until(stopped.Add(q.head)))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Snipepitch-Attempt-Id: %s\r\nX-Snipepitch-Deadline-Ms: 8000\r\n%sContent-Length: %d\r\n\r\n",
		q.target, host, a.id, q.header, len(text))
	time.Sleep(time.Until(stopped.Add(q.body)))
	_, _ = io.WriteString(c, text)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = answer.Body.Close() }()
	a.status, a.retryAfter = answer.StatusCode, answer.Header.Get("Retry-After")
	data, err := io.ReadAll(answer.Body)
	a.body, a.err = string(data), err
	return a
}

// lateHeader is the header of requests for engines.
const lateHeader = modelHeader + ": base\r\n"

// TestStopAnswersAll guards against requests that come late in a planned stop, are passed on and get no answer as the process
// ends. Those that cannot be answered in time must be refused as not run, and those in flight must get a final answer, and so
// must those whose heads come after the listener was closed, on connections that were accepted.
func TestStopAnswersAll(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		lateRequest
		// work is how long upstreams take for a request, known how long they took for those before the stop.
		work, known time.Duration
		byHop       bool
		// want is the status that callers get, refused is set if the requests must not be sent on.
		want    int
		refused bool
	}{
		"InTime":          {lateRequest{"/once/x", "", 2500 * ms, 2500 * ms, 2500 * ms}, 1500 * ms, 1500 * ms, false, 200, false},
		"LateBody":        {lateRequest{"/once/x", "", 2500 * ms, 2900 * ms, 6400 * ms}, 1500 * ms, 1500 * ms, false, 503, true},
		"NoBody":          {lateRequest{"/once/x", "", 2500 * ms, 2900 * ms, 9 * time.Second}, 1500 * ms, 1500 * ms, false, 503, true},
		"LateBodyStream":  {lateRequest{"/final/x", lateHeader, 2500 * ms, 2900 * ms, 6400 * ms}, 1500 * ms, 1500 * ms, false, 503, true},
		"LateHead":        {lateRequest{"/once/x", "", 2800 * ms, 6500 * ms, 6500 * ms}, 1500 * ms, 1500 * ms, false, 503, true},
		"HeadAfterAccept": {lateRequest{"/once/x", "", 2500 * ms, 3300 * ms, 3300 * ms}, 1500 * ms, 1500 * ms, false, 200, false},
		"LongWork":        {lateRequest{"/once/x", "", 2500 * ms, 2600 * ms, 2600 * ms}, 5500 * ms, 5500 * ms, false, 503, true},
		"LongWorkStream":  {lateRequest{"/final/x", lateHeader, 2500 * ms, 2600 * ms, 2600 * ms}, 5500 * ms, 5500 * ms, false, 503, true},
		"LongerThanKnown": {lateRequest{"/once/x", "", 2500 * ms, 2600 * ms, 2600 * ms}, 5500 * ms, 100 * ms, false, 504, false},
		"LongerStream":    {lateRequest{"/final/x", lateHeader, 2500 * ms, 2600 * ms, 2600 * ms}, 5500 * ms, 100 * ms, false, 504, false},
		"LongerByHop":     {lateRequest{"/once/x", "", 2500 * ms, 2600 * ms, 2600 * ms}, 5500 * ms, 100 * ms, true, 504, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopCluster(t, tt.known)
			one := s.addInstance("one")
			waitServing(t, one)
			if tt.byHop {
				waitServing(t, s.addInstance("other"))
				s.cut(1, linksReset)
				eventually(t, func() bool { return s.servedByHop(one, tt.target) })
			}
			s.setWork(tt.work)
			one.Stop()
			stopped := time.Now()
			ended := make(chan time.Duration, 1)
			go func() {
				must.NoError(t, <-one.ended)
				ended <- time.Since(stopped)
			}()
			for _, a := range sendAll(one, stopped, tt.lateRequest) {
				if tt.refused {
					must.Zero(t, s.total(a.id))
				}
				must.NoError(t, a.err, must.Sprint("no final answer"))
				must.Eq(t, tt.want, a.status, must.Sprint(a.body))
				if a.status == http.StatusServiceUnavailable {
					must.NotEq(t, "", a.retryAfter)
				}
			}
			if tt.refused {
				must.StrNotContains(t, s.logged(), "RequestSentAgain")
			}
			must.Less(t, one.Settings.StopTimeout.Value(), <-ended)
		})
	}
}

// TestStopEndsStreams guards against a stream that is still sent as the grace of a planned stop ends, and then looks whole, and
// against one that is ended earlier.
func TestStopEndsStreams(t *testing.T) {
	s := newStopCluster(t, 0)
	one := s.addInstance("one")
	waitServing(t, one)
	s.setWork(100 * time.Millisecond)
	for _, r := range s.runners {
		r.Events = silencedEvents * 4
	}
	one.Stop()
	stopped := time.Now()
	for _, a := range sendAll(one, stopped, lateRequest{"/final/x", lateHeader, time.Second, time.Second, time.Second}) {
		must.Eq(t, http.StatusOK, a.status)
		must.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
		must.Greater(t, 50, strings.Count(a.body, "id:"))
	}
	must.NoError(t, <-one.ended)
}

// stopCluster is a cluster whose upstreams take a time for a request, which can be changed.
type stopCluster struct{ *cutCluster }

func newStopCluster(t *testing.T, work time.Duration) *stopCluster {
	s := &stopCluster{&cutCluster{}}
	s.testCluster = startTestCluster(t, 100*time.Millisecond, twoOfEach(), func(r *snipestand.Runner) {
		r.Address = serve(t, r.Handler()).String()
	})
	s.setWork(work)
	s.declare(1)
	return s
}

// setWork sets how long upstreams work on a request before they answer.
func (s *stopCluster) setWork(d time.Duration) {
	for _, r := range s.runners {
		r.SetWork(d)
	}
}

// sendAll sends a few requests at the same time.
func sendAll(i *instance, stopped time.Time, q lateRequest) []lateReply {
	replies := make([]lateReply, 6)
	var all sync.WaitGroup
	for n := range replies {
		all.Go(func() { replies[n] = q.send(i, stopped) })
	}
	all.Wait()
	return slices.Clip(replies)
}
