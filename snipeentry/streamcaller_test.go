package snipeentry_test

import (
	"bufio"
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// callerTimeout is the longest time that a caller waits for its stream, over all of its attempts.
const callerTimeout = 8 * time.Second

// maxResumes bounds the attempts by which a caller takes up its stream. A caller that is refused returns after
// returnPause.
const (
	maxResumes  = 3
	returnPause = 200 * time.Millisecond
)

// streamCaller reads a stream over several attempts, at several instances.
type streamCaller struct {
	t      *testing.T
	target string
	header []string
	// total is the number of events of a whole stream.
	total int
	// begun is called when the first event was read; nil if that is not needed.
	begun func()

	first    string // the attempt that brought the first event
	events   int
	software map[string]bool
	gap      bool // an event was missing or came twice
	// taken is set once another attempt was made, continued once one brought an event. refused holds the answers of
	// attempts that brought none, with the time that they took.
	taken, continued bool
	refused          []refusal
}

// refusal is the answer of an attempt that brought no event.
type refusal struct {
	status     int
	retryAfter string
	body       string
	took       time.Duration
}

// readUntil makes an attempt at an instance and reads until the given number of events was read in all, or the
// answer has ended.
func (c *streamCaller) readUntil(i *instance, events int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id := rand.Text()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, i.url, strings.NewReader("text"))
	must.NoError(c.t, err)
	r.URL.Opaque, r.Host = c.target, host
	r.Header.Set("X-Snipepitch-Attempt-Id", id)
	r.Header.Set("X-Snipepitch-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	for n := 0; n < len(c.header); n += 2 {
		r.Header.Set(c.header[n], c.header[n+1])
	}
	if c.events > 0 {
		c.taken = true
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.events))
		r.Header.Set("Resumes", c.first)
	}
	begun, before := time.Now(), c.events
	a, err := requests.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = a.Body.Close() }()
	text := c.readEvents(a, id, events)
	switch {
	case c.events > before:
		c.continued = c.continued || before > 0
	case before > 0:
		c.refused = append(c.refused, refusal{a.StatusCode, a.Header.Get("Retry-After"), text, time.Since(begun)})
	}
}

// readEvents reads events, and returns the text that is none.
func (c *streamCaller) readEvents(a *http.Response, id string, events int) string {
	var other strings.Builder
	lines := bufio.NewScanner(a.Body)
	for c.events < events && lines.Scan() {
		text, isData := strings.CutPrefix(lines.Text(), "data: token ")
		if !isData {
			other.WriteString(lines.Text())
			continue
		}
		number, software, _ := strings.Cut(text, " ")
		n, err := strconv.Atoi(number)
		c.gap = c.gap || err != nil || n != c.events+1
		if c.first == "" {
			c.first, c.software = id, make(map[string]bool)
			if c.begun != nil {
				c.begun()
			}
		}
		c.events = n
		c.software[software] = true
	}
	return other.String()
}

// takeUp makes attempts at the instances in turn until the stream is whole.
func (c *streamCaller) takeUp(instances ...*instance) {
	for n := 0; n < maxResumes && c.events < c.total; n++ {
		if n > 0 {
			time.Sleep(returnPause)
		}
		c.readUntil(instances[n%len(instances)], c.total)
	}
}

// whole reports whether the stream has all of its events, each once.
func (c *streamCaller) whole() bool { return c.events == c.total && !c.gap }

// streamTally counts streams.
type streamTally struct {
	begun, taken, whole, mixed, gaps int
	refused                          []refusal
	// began counts the streams by the software version at which they began, and continued those of them that
	// were taken up and brought an event.
	began, takenOf, continuedOf map[string]int
}

func tally(callers []*streamCaller) streamTally {
	t := streamTally{began: map[string]int{}, takenOf: map[string]int{}, continuedOf: map[string]int{}}
	for _, c := range callers {
		if c.first == "" {
			continue
		}
		t.begun++
		if c.gap {
			t.gaps++
		}
		if len(c.software) > 1 {
			t.mixed++
		}
		for v := range c.software {
			t.began[v]++
			t.takenOf[v] += one(c.taken)
			t.continuedOf[v] += one(c.continued)
		}
		t.taken += one(c.taken)
		t.whole += one(c.whole())
		t.refused = append(t.refused, c.refused...)
	}
	return t
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
