package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// resumeMachines, resumeEngines and resumeCallers are the machines, the engines, half of each software version, and the callers.
	resumeMachines, resumeEngines, resumeCallers = 9, 12, 180
	// callerPause lies between two streams of a caller.
	callerPause = 300 * time.Millisecond
	// calmTime is the time before each kill, in which both versions become usable; kills is their number.
	calmTime, kills = 12 * time.Second, 7
	// touchTime is contactMs: a machine is in touch so long after its process has started.
	touchTime = 3 * time.Second
	// resumePause is how long after its end a caller takes a stream up: the machines are in touch by then. Callers abandon a stream
	// after a gap of four times the objective, which is 4 s. New streams are compared that are sent in newTime after a kill.
	resumePause, newTime = 3900 * time.Millisecond, 6 * time.Second
	// matchWait is the deadline of the callers, over both attempts.
	matchWait = 5 * time.Second
	// leastStreams is the number of streams from which on the rule holds.
	leastStreams = 12
)

// resumed counts streams at machines in touch, while they come back from a kill. It is safe for concurrent use.
type resumed struct {
	lock sync.Mutex // guards the fields below
	// takenUp are the streams that callers have taken up, and wentOn those that went on; tried are the new ones then, and begun those of
	// them that began.
	takenUp, wentOn, tried, begun int
	// since is when the processes were killed last.
	since time.Time
	mixed int // streams with events of two versions
}

// resumesCase kills all processes at once while streams of two software versions run, and has callers take the streams up.
func resumesCase(p *play) (broken bool, err error) {
	f, err := newPlatform(p)
	if err != nil {
		return false, err
	}
	defer f.end()
	runners, err := newRunners(resumeEngines, engineService, 0)
	if err != nil {
		return false, err
	}
	for n, r := range runners {
		r.software, r.pause, r.events = "v"+strconv.Itoa(n%2+1), resumedEventTime, resumedEvents
	}
	f.register(runners)
	match := route("ledger-match", "streaming", engineService, 5000, 1000)
	match["resumable"] = true
	if err := f.declare(match); err != nil {
		return false, err
	}
	if err := f.start(resumeMachines); err != nil {
		return false, err
	}
	c := &resumed{}
	until := time.Now().Add(kills*calmTime + calmTime)
	var all sync.WaitGroup
	for n := range resumeCallers {
		all.Go(func() { f.callResumable(n, until, c) })
	}
	for range kills {
		time.Sleep(calmTime)
		if p.trouble {
			f.killAll(c)
		}
	}
	all.Wait()
	p.record.note("taken up at machines in touch: %d, went on: %d; new streams then: %d, begun: %d; streams of two versions: %d",
		c.takenUp, c.wentOn, c.tried, c.begun, c.mixed)
	share, shareOfNew := ratio(c.wentOn, c.takenUp), ratio(c.begun, c.tried)
	p.record.note("share that went on: %.3f, share of new streams that began: %.3f", share, shareOfNew)
	return c.takenUp >= leastStreams && share < shareOfNew/2, nil
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// killAll kills all processes, which start again.
func (f *platform) killAll(c *resumed) {
	f.record.note("all processes are killed")
	c.lock.Lock()
	c.since = time.Now()
	c.lock.Unlock()
	for _, m := range f.machines {
		m.lock.Lock()
		_ = m.process.Kill()
		m.lock.Unlock()
	}
}

// inTouch reports whether the process of a machine has run for touchTime.
func (m *machine) inTouch() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return time.Since(m.startedAt) > touchTime
}

// callResumable reads one stream after another, and takes up those that break off.
func (f *platform) callResumable(n int, until time.Time, c *resumed) {
	for k := 0; time.Now().Before(until); k++ {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * callerPause)))) //nolint:gosec // no secret
		in := f.ready()
		if len(in) == 0 {
			continue
		}
		m := in[rand.IntN(len(in))] //nolint:gosec // no secret
		s := &takenStream{first: fmt.Sprintf("%04x%06x", n, k), begun: time.Now()}
		touch := m.inTouch()
		s.read(m.callers, s.first)
		c.noteNew(touch, s.events > 0)
		if s.events > 0 && s.events < resumedEvents {
			f.takeUp(s, c)
		}
		if s.mixed {
			c.lock.Lock()
			c.mixed++
			c.lock.Unlock()
		}
	}
}

// noteNew counts a new stream that was sent to a machine in touch while streams are taken up there.
func (c *resumed) noteNew(touch, begun bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	d := time.Since(c.since)
	if c.since.IsZero() || !touch || d < touchTime || d > newTime {
		return
	}
	c.tried++
	if begun {
		c.begun++
	}
}

// takeUp takes a stream up, once. What is sent to a machine that is not in touch does not count.
func (f *platform) takeUp(s *takenStream, c *resumed) {
	had := s.events
	time.Sleep(resumePause)
	in := f.ready()
	if len(in) == 0 {
		return
	}
	m := in[rand.IntN(len(in))] //nolint:gosec // no secret
	touch := m.inTouch()
	s.read(m.callers, s.first+"-again")
	f.record.note("stream %s of %s: %d events before the kill, %d after; machine in touch: %v; last answer: %s", s.first, s.software, had,
		s.events-had, touch, s.end)
	if !touch {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.takenUp++
	if s.events > had {
		c.wentOn++
	}
}

// takenStream is a stream of a caller, over all its attempts.
type takenStream struct {
	first    string
	begun    time.Time // when the first attempt was sent
	events   int
	software string
	mixed    bool
	end      string
}

// read sends an attempt, which goes on after the events so far, and reads its events.
func (s *takenStream) read(address, id string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		s.end = "no connection"
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(s.begun.Add(matchWait))
	head := fmt.Sprintf("POST /ledger-match/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: %d\r\nX-Snipepitch-Model: %s/%s\r\n"+
		"X-Snipepitch-Token-Usage: 9190,50\r\nContent-Length: 5\r\n", hostName, attemptID, id, time.Until(s.begun.Add(matchWait)).Milliseconds(), modelName, adapterName)
	if s.events > 0 {
		head += fmt.Sprintf("%s: %d\r\nResumes: %s\r\n", lastEvent, s.events, s.first)
	}
	if _, err := io.WriteString(c, head+"\r\nhello"); err != nil {
		s.end = "not sent"
		return
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.end = "no answer"
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.end = strconv.Itoa(answer.StatusCode)
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		s.end += " " + strings.TrimSpace(string(text))
		return
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if software, found := strings.CutPrefix(lines.Text(), "data: "); found {
			s.mixed = s.mixed || s.software != "" && s.software != software
			s.software = software
			s.events++
		}
	}
}
