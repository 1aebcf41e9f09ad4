package snipegateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelink"
)

const (
	// blockedAfter is how long a write takes when it counts as blocked. A caller that reads takes
	// an event within a round trip of few milliseconds.
	blockedAfter = 100 * time.Millisecond
	// roomInterval is the time between two tries to get room for more bytes.
	roomInterval = 20 * time.Millisecond
)

// delivery writes one answer to the caller and reads it from the upstream, where there is a bound on
// the bytes held. While no write is blocked, the request's goroutine reads and writes alternately, as
// it does without a bound. When a write is blocked for the first time, another goroutine begins to
// read ahead, so that the upstream does not cut off an answer that is not read.
type delivery struct {
	call   *call
	answer *snipelink.Answer // nil if the whole answer is in memory
	timer  *time.Timer       // calls writeBlocked; nil before the first write

	lock    sync.Mutex // guards the fields below
	writing bool
	began   time.Time // when the present write began
	blocked bool      // whether the account is blocked
	ahead   *readAhead
}

// startDelivery prepares the writes of an answer, and returns the reader of its body and a function
// that must be called before the answer is closed. The answer is nil if it is in memory.
func (c *call) startDelivery(answer *snipelink.Answer) (body io.Reader, stop func()) {
	if !c.pressure.Active() || c.pressure.delivery != nil {
		return answer, func() {}
	}
	d := &delivery{call: c, answer: answer}
	c.pressure.delivery = d
	c.pressure.End, c.pressure.Progress = c.end, c.readByCaller
	return d, func() {
		d.stop()
		c.pressure.delivery = nil
	}
}

// write writes data to the caller, and flushes it if flush is set.
func (c *call) write(data []byte, flush bool) error {
	if d := c.pressure.delivery; d != nil {
		d.begin()
		defer d.end()
	}
	if _, err := c.writer.Write(data); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(c.writer).Flush()
}

// begin records that a write begins.
func (d *delivery) begin() {
	d.lock.Lock()
	d.writing, d.began = true, time.Now()
	d.lock.Unlock()
	if d.timer == nil {
		d.timer = time.AfterFunc(blockedAfter, d.writeBlocked)
		return
	}
	d.timer.Reset(blockedAfter)
}

// end records that a write has ended.
func (d *delivery) end() {
	d.timer.Stop()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.writing = false
	if d.blocked {
		d.blocked = false
		d.call.pressure.Unblock()
	}
}

// writeBlocked makes the request one that may be ended, and begins to read ahead.
func (d *delivery) writeBlocked() {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.writing || d.blocked || time.Since(d.began) < blockedAfter {
		return // the write that the timer was set for has ended meanwhile
	}
	d.blocked = true
	// Not since the write began: if the process was stopped, the timer runs late, and what the caller
	// has read meanwhile is not known.
	d.call.pressure.Block(time.Now().Add(-blockedAfter))
	if d.answer == nil || d.ahead != nil {
		return
	}
	d.ahead = newReadAhead(d.answer, &d.call.pressure.Account, d.call.gateway.Pressure.Bound)
	go d.ahead.run()
}

// Read reads the answer's body.
func (d *delivery) Read(p []byte) (int, error) {
	d.lock.Lock()
	ahead := d.ahead
	d.lock.Unlock()
	if ahead == nil {
		return d.answer.Read(p)
	}
	return ahead.Read(p)
}

// stop ends the reading ahead.
func (d *delivery) stop() {
	d.lock.Lock()
	ahead := d.ahead
	d.lock.Unlock()
	if ahead == nil {
		return
	}
	d.answer.Interrupt()
	ahead.stop()
}

// growPending returns pending with space for n more bytes. It counts the buffer of an event that is
// not complete, and blocks while there is no room for it.
func (c *call) growPending(ctx context.Context, pending []byte, n int) ([]byte, error) {
	need := len(pending) + n
	if need <= cap(pending) || !c.pressure.Active() {
		return pending, nil
	}
	size := max(2*cap(pending), need)
	if err := waitForRoom(c.pressure.Grow, int64(size-cap(pending)), ctx.Done()); err != nil {
		return pending, errors.Wrap(err, "event")
	}
	return append(make([]byte, 0, size), pending...), nil
}

// waitForRoom blocks until grow reports true, or returns errNoRoom when quit is closed.
func waitForRoom(grow func(int64) bool, bytes int64, quit <-chan struct{}) error {
	for !grow(bytes) {
		select {
		case <-quit:
			return errNoRoom
		case <-time.After(roomInterval):
		}
	}
	return nil
}

// callWriter writes to the caller of a call.
type callWriter struct {
	call *call
	// err is the error of the last write.
	err error
}

// Write implements io.Writer.
func (w *callWriter) Write(p []byte) (int, error) {
	if w.err = w.call.write(p, false); w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}
