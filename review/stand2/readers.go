package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// plainRunners have answers of largeAnswer bytes for the readers.
	plainRunners, largeAnswer = 12, 1_500_000
	// readers is the number of callers of the machine that read such answers, senders that of callers with long bodies of bodyBytes
	// as long as the limits allow.
	readers, senders, bodyBytes = 60, 32, maxBodyBytes
	// A slow caller reads readBytes each readPause: 250,000 bytes a second. Its kernel takes receiveBuffer ahead.
	readBytes, readPause, receiveBuffer = 25_000, 100 * time.Millisecond, 16 << 10
	// orderTimeout is the route's time and the callers' deadline; rounds are played, each of roundTime.
	orderTimeout, rounds, roundTime = 12 * time.Second, 9, 9 * time.Second
	// applyTime is configApplyMs: requests that are sent so long after a SIGHUP count.
	applyTime = 2 * time.Second
	chunkSize = 32 << 10
	// senderGap lies between two callers with long bodies.
	senderGap = 100 * time.Millisecond
	// usual is the number of other callers, which wait usualPause between two requests.
	usual, usualPause = 80, 20 * time.Millisecond
)

// order is a request that a caller is to send.
type order struct {
	id string
	// body is the length of the body, which comes in chunks if chunked is set; 0 for a short one.
	body    int
	chunked bool
	// large asks for a large answer, which is read slowly if slow is set.
	large, slow bool
}

// orderRequest is what a caller saw of a request for which the rule is judged.
type orderRequest struct {
	order
	sent, ended time.Time
	status      int
	bytes       int
	err         error
}

// readersCase has callers read long answers slowly while others send long bodies, after a change of the settings file.
func readersCase(p *play) (broken bool, err error) {
	f, err := newPlatform(p)
	if err != nil {
		return false, err
	}
	defer f.end()
	runners, err := newRunners(plainRunners, plainService, largeAnswer)
	if err != nil {
		return false, err
	}
	f.register(runners)
	if err := f.declare(route("order", "non_idempotent", plainService, int(orderTimeout.Milliseconds()), 1000)); err != nil {
		return false, err
	}
	if err := f.start(1); err != nil {
		return false, err
	}
	lost := 0
	for n := range rounds {
		lost += f.judgeRound(f.readersRound(n), runners)
	}
	p.record.note("%d requests were passed on and lost", lost)
	return lost > 0, nil
}

// readersRound plays one round and returns the requests that were sent up to applyTime after the SIGHUP.
func (f *platform) readersRound(round int) []*orderRequest {
	m := f.machines[0]
	begun := make(chan struct{})
	var all sync.WaitGroup
	var lock sync.Mutex
	var requests []*orderRequest
	call := func(o order, delay time.Duration) {
		all.Go(func() {
			r, err := f.callOrder(m.callers, o, delay, begun)
			if err != nil {
				f.record.note("caller of %s: %v", o.id, err)
				return
			}
			lock.Lock()
			defer lock.Unlock()
			requests = append(requests, r)
		})
	}
	for n := range readers {
		call(order{id: fmt.Sprintf("b%04x%04x", round, n), large: true, slow: f.trouble}, 0)
	}
	over := make(chan struct{})
	for n := range usual {
		go f.callUsually(m.callers, fmt.Sprintf("u%04x%04x", round, n), over)
	}
	for n := range senders {
		// The bodies come when the answers are on their way.
		call(order{id: fmt.Sprintf("c%04x%04x", round, n), body: bodyBytes, chunked: n%2 == 0}, time.Second+time.Duration(n)*senderGap)
	}
	time.Sleep(2 * time.Second) // all have a connection that has carried a request
	m.lock.Lock()
	m.fields["RetrySlack"] = 58 - round%2
	if err := m.writeSettings(); err != nil {
		f.record.note("%v", err)
	}
	f.record.note("round %d: the settings have changed, SIGHUP", round)
	_ = m.process.Signal(syscall.SIGHUP)
	m.lock.Unlock()
	changed := time.Now()
	end := time.After(roundTime)
	close(begun)
	all.Wait()
	<-end
	close(over)
	return slices.DeleteFunc(requests, func(r *orderRequest) bool { return r.sent.Sub(changed) > applyTime })
}

// callUsually sends short requests one after another, which other callers do.
func (f *platform) callUsually(address, id string, over <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(usualPause):
		}
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		_ = exchange(c, bufio.NewReader(c), order{id: fmt.Sprintf("%s%06x", id, n)})
		_ = c.Close()
	}
}

// callOrder makes a connection and sends a short request on it. After begun and the given time it sends the one that counts.
func (f *platform) callOrder(address string, o order, delay time.Duration, begun <-chan struct{}) (*orderRequest, error) {
	d := net.Dialer{Timeout: time.Second}
	if o.slow {
		d.Control = setReceiveBuffer
	}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	first := exchange(c, reader, order{id: "a" + o.id})
	if first.err != nil || first.status != http.StatusOK {
		return nil, fmt.Errorf("first request: status %d: %w", first.status, first.err)
	}
	<-begun
	time.Sleep(delay)
	return exchange(c, reader, o), nil
}

// setReceiveBuffer bounds what the kernel of a caller takes ahead.
func setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, optionErr)
}

// exchange sends a request and reads its answer.
func exchange(c net.Conn, reader *bufio.Reader, o order) *orderRequest {
	r := &orderRequest{order: o, sent: time.Now()}
	_ = c.SetDeadline(r.sent.Add(orderTimeout + time.Second))
	if r.err = send(c, o); r.err == nil || o.body > 0 {
		r.readAnswer(reader)
	}
	r.ended = time.Now()
	return r
}

// send sends a request.
func send(c net.Conn, o order) error {
	path := "small"
	if o.large {
		path = "large"
	}
	head := fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: %d\r\n", path, hostName, attemptID, o.id,
		orderTimeout.Milliseconds())
	if !o.chunked {
		body := strings.Repeat("o", max(o.body, 5))
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err
	}
	_, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
	for left := o.body; left > 0 && err == nil; left -= chunkSize {
		n := min(left, chunkSize)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", n, strings.Repeat("o", n))
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}

// readAnswer reads the answer to its end.
func (r *orderRequest) readAnswer(reader *bufio.Reader) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = answer.Body.Close() }()
	r.status = answer.StatusCode
	r.bytes, r.err = readBody(answer.Body, r.slow)
}

// readBody reads a body to its end, at once or slowly but steadily.
func readBody(body io.Reader, slow bool) (int, error) {
	if !slow {
		n, err := io.Copy(io.Discard, body)
		return int(n), err
	}
	buffer, all := make([]byte, readBytes), 0
	for {
		n, err := io.ReadFull(body, buffer)
		all += n
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && all == largeAnswer:
			return all, nil
		case err != nil:
			return all, err
		}
		time.Sleep(readPause)
	}
}

// judgeRound returns the number of requests that were passed on to a runner and whose channel ended without a whole answer, before
// their deadline. No runner breaks off, and none works on after its answer.
func (f *platform) judgeRound(requests []*orderRequest, runners []*runner) int {
	lost := 0
	ends := map[string]int{}
	for _, r := range requests {
		ran := 0
		for _, u := range runners {
			ran += u.runs(r.id)
		}
		end := fmt.Sprintf("status %d", r.status)
		if r.err != nil {
			end += ", not whole"
		}
		ends[end]++
		if r.err == nil || ran == 0 || r.ended.Sub(r.sent) > orderTimeout*9/10 {
			continue
		}
		lost++
		f.record.note("%s (reads slowly: %v): sent at %.3f, ran %d times, status %d, ended after %d ms and %d bytes: %v", r.id, r.slow,
			r.sent.Sub(f.begun).Seconds(), ran, r.status, r.ended.Sub(r.sent).Milliseconds(), r.bytes, r.err)
	}
	f.record.note("ends: %v", ends)
	return lost
}
