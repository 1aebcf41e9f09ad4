package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualCallers is the number of callers, each of which has a stream most of the time: about 280 requests a second, which the
	// sheet of kvb-routeops has in all. Two of its machines are left, since the loss of any number is to be borne.
	usualCallers, headersMachines, engines = 400, 2, 12
	// burst is by how much the callers are more in a burst of burstTime; burstPause lies between two bursts.
	burst                             = 2.4
	burstTime, burstPause, burstCount = 4500 * time.Millisecond, 10 * time.Second, 5
	// headBytes is the size of the head of a request, below maxHeaderBytes.
	headBytes = 16000
	// callerWait is the deadline that callers of streams state.
	callerWait = 12 * time.Second
	// maxLost is how many requests of one machine the rule allows to be lost; failurePause is a caller's pause after a failure.
	maxLost, failurePause = 3, 300 * time.Millisecond
)

// headersCase has callers whose requests have heads of nearly maxHeaderBytes, in short lines, come at once.
func headersCase(p *play) (broken bool, err error) {
	f, err := newPlatform(p)
	if err != nil {
		return false, err
	}
	defer f.end()
	runners, err := newRunners(engines, engineService, 0)
	if err != nil {
		return false, err
	}
	f.register(runners)
	if err := f.declare(route("visit-draft", "streaming", engineService, 12000, 1000)); err != nil {
		return false, err
	}
	if err := f.start(headersMachines); err != nil {
		return false, err
	}
	c := &streamCallers{platform: f, lost: make(map[string][]string), until: time.Now().Add(burstCount * (burstPause + burstTime))}
	for range usualCallers {
		go c.run(c.until)
	}
	for time.Now().Before(c.until) {
		time.Sleep(burstPause)
		if p.trouble {
			extra := int((burst - 1) * usualCallers)
			p.record.note("%d more callers come for %v", extra, burstTime)
			for range extra {
				go c.run(time.Now().Add(burstTime))
			}
		}
		time.Sleep(burstTime)
	}
	p.record.note("%d requests sent, ends: %v", c.sent.Load(), &c.ends)
	return c.judge(runners), nil
}

// streamCallers are the callers of the case.
type streamCallers struct {
	*platform
	until time.Time
	sent  atomic.Uint64
	ends  counts

	lock sync.Mutex // guards lost
	// lost holds the requests on kept connections that ended without any answer, by machine.
	lost map[string][]string
}

// judge reports whether a machine has passed on more than maxLost requests from kept connections to runners, and closed these
// connections without an answer.
func (c *streamCallers) judge(runners []*runner) (broken bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, m := range c.machines {
		passedOn := 0
		for _, id := range c.lost[m.name] {
			for _, r := range runners {
				passedOn += r.runs(id)
			}
		}
		m.lock.Lock()
		c.record.note("%s: killed for its memory %d times, most memory %d MiB; %d requests on kept connections without an answer, %d of them passed on",
			m.name, m.overMemory, m.mostMemory, len(c.lost[m.name]), passedOn)
		m.lock.Unlock()
		broken = broken || passedOn > maxLost
	}
	return broken
}

// run sends one request after another over a kept connection until a time.
func (c *streamCallers) run(until time.Time) {
	for time.Now().Before(until) {
		in := c.ready()
		if len(in) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		m := in[rand.IntN(len(in))] //nolint:gosec // no secret
		conn, err := net.DialTimeout("tcp", m.callers, time.Second)
		if err != nil {
			c.ends.add("no connection")
			time.Sleep(failurePause)
			continue
		}
		reader := bufio.NewReader(conn)
		for kept := false; time.Now().Before(until); kept = true {
			id := fmt.Sprintf("%016x", c.sent.Add(1))
			end := callStream(conn, reader, id)
			c.ends.add(end)
			if end == noAnswer && kept && time.Now().Before(c.until) {
				c.lock.Lock()
				c.lost[m.name] = append(c.lost[m.name], id)
				c.lock.Unlock()
			}
			if end != served {
				time.Sleep(failurePause)
				break
			}
		}
		_ = conn.Close()
	}
}

// The ends of requests that matter.
const served, noAnswer = "served", "no answer"

// callStream sends a request and returns how it ended.
func callStream(c net.Conn, reader *bufio.Reader, id string) string {
	_ = c.SetDeadline(time.Now().Add(callerWait))
	if _, err := io.WriteString(c, longHead(id)+"hello"); err != nil {
		return "not sent"
	}
	answer, err := http.ReadResponse(reader, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "deadline"
	}
	if err != nil {
		return noAnswer
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode != http.StatusOK:
		return strconv.Itoa(answer.StatusCode)
	case err != nil:
		return "broken off"
	case string(body) != streamAnswer(id):
		return "wrong answer"
	}
	return served
}

// longHead returns the head of a request, of headBytes, most of it in header lines of a few bytes.
func longHead(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /visit-draft/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: %d\r\nX-Snipepitch-Model: %s/%s\r\n"+
		"X-Snipepitch-Token-Usage: 646,70\r\nContent-Length: 5\r\n", hostName, attemptID, id, callerWait.Milliseconds(), modelName, adapterName)
	for n := 0; b.Len() < headBytes; n++ {
		fmt.Fprintf(&b, "t%x:1\r\n", n)
	}
	b.WriteString("\r\n")
	return b.String()
}
