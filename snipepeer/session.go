package snipepeer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
)

// maxBuffered bounds the bytes of events that a session keeps for a resume. An
// answer with 30 chunks per second of 250 bytes each fills it in about 9 s.
const maxBuffered = 64 << 10

// errBehind ends a call if its unsent events exceed maxBuffered.
var errBehind = errors.New("the entry instance has fallen behind")

// connection is one connection of a hop on the owner's side.
type connection struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newConnection(w http.ResponseWriter, timeout time.Duration) *connection {
	return &connection{response: w, controller: http.NewResponseController(w), timeout: timeout}
}

// write writes data and flushes it, within the connection's timeout.
func (c *connection) write(data []byte) error {
	// Only response writers in tests do not support deadlines.
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.timeout))
	if _, err := c.response.Write(data); err != nil {
		return errors.Wrap(err, "write hop")
	}
	if err := c.controller.Flush(); err != nil {
		return errors.Wrap(err, "flush hop")
	}
	return nil
}

// interrupt ends a write that is blocked in another goroutine.
func (c *connection) interrupt() { _ = c.controller.SetWriteDeadline(time.Unix(1, 0)) }

// bufferedEvent is one event in wire form.
type bufferedEvent struct {
	number uint64
	data   []byte
}

// session is a hop on the owner's side. The call's goroutine appends events, and
// connections are attached and detached meanwhile.
type session struct {
	call   *snipecall.Call
	cancel context.CancelFunc
	window time.Duration // how long the call continues without a connection
	done   chan struct{} // closed when the call has ended

	current atomic.Pointer[connection] // the attached connection; changed under lock

	lock        sync.Mutex // guards the fields below and is held during a write
	events      []bufferedEvent
	size        int         // bytes of events
	last        uint64      // number of the last event
	sent        uint64      // number of the last event written to the entry
	ended       bool        // the last event has been appended
	windowTimer *time.Timer // cancels the call after the window; nil while a connection is attached
}

// attach makes out the hop's connection and writes the events after a number to
// it. A connection that was attached is replaced, and a write that is blocked on it
// fails. attach reports false, with nothing written to out, if the events are no
// longer kept or the number exceeds that of the last event.
func (s *session) attach(out *connection, after uint64) bool {
	if old := s.current.Load(); old != nil {
		// A blocked write to the old connection may hold the lock.
		old.interrupt()
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if after > s.last || len(s.events) > 0 && after+1 < s.events[0].number || len(s.events) == 0 && after < s.last {
		return false
	}
	if s.windowTimer != nil {
		s.windowTimer.Stop()
		s.windowTimer = nil
	}
	out.response.Header().Set("Content-Type", "text/event-stream")
	out.response.Header().Set(adapterHeader, s.call.Adapter.String())
	out.response.WriteHeader(http.StatusOK)
	s.current.Store(out)
	s.sent = after
	var missed []byte
	for _, k := range s.events {
		if k.number > after {
			missed = append(missed, k.data...)
		}
	}
	s.write(missed, s.last)
	return true
}

// write writes data to the attached connection if there is one. The data ends with
// the event of the given number, which is 0 for a heartbeat. The caller holds the
// lock.
func (s *session) write(data []byte, number uint64) {
	out := s.current.Load()
	if out == nil {
		return
	}
	if err := out.write(data); err != nil {
		s.detachCurrent()
		return
	}
	s.sent = max(s.sent, number)
}

// detach is called when a connection has ended.
func (s *session) detach(out *connection) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.current.Load() == out {
		s.detachCurrent()
	}
}

// detachCurrent detaches the current connection and starts the window, after which the
// call is canceled. The caller holds the lock.
func (s *session) detachCurrent() {
	s.current.Store(nil)
	if !s.ended && s.windowTimer == nil {
		s.windowTimer = time.AfterFunc(s.window, s.cancel)
	}
}

// close marks the session as ended and detaches its connection.
func (s *session) close() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.windowTimer != nil {
		s.windowTimer.Stop()
	}
	s.ended = true
	s.current.Store(nil)
	close(s.done)
}

// sendHeartbeats writes a heartbeat to the attached connection at each interval,
// until stop is called. Heartbeats keep the connection alive while the call waits.
func (s *session) sendHeartbeats(interval time.Duration) (stop func()) {
	done := make(chan struct{})
	data := snipestream.Append(nil, snipestream.Event{Name: eventHeartbeat, Data: []byte("{}")})
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			s.lock.Lock()
			if !s.ended {
				s.write(data, 0)
			}
			s.lock.Unlock()
		}
	}()
	return func() { close(done) }
}

// sendChunk is the call's sink: it sends a chunk of a stream, or a whole answer, as one event.
func (s *session) sendChunk(c snipecall.Chunk) error {
	if c.ContentType != "" || c.Status != 0 {
		data, err := json.Marshal(wholePayload{Status: c.Status, ContentType: c.ContentType, Unframed: c.Unframed, Data: c.Data})
		if err != nil {
			return errors.Wrap(err, "encode whole answer")
		}
		return s.send(eventWhole, data, true)
	}
	name := eventChunk
	if c.Last {
		name = eventLast
	}
	return s.send(name, c.Data, c.Last)
}

// sendFailure ends the hop with a failure.
func (s *session) sendFailure(f *snipeerror.CallError) {
	// The error does not matter: the call has ended, and the entry may be gone.
	_ = s.send(eventFailure, f.Encode(s.call.ID), true)
}

// send numbers an event, buffers it for a resume and writes it. After the last event it does
// nothing. It returns errBehind if events that were never written would have to be dropped.
func (s *session) send(name string, data []byte, last bool) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.ended {
		return nil
	}
	s.ended = last
	s.last++
	k := bufferedEvent{number: s.last}
	k.data = snipestream.Append(s.eventBuffer(len(data)), snipestream.Event{ID: s.last, Name: name, Data: data})
	s.events = append(s.events, k)
	s.size += len(k.data)
	s.write(k.data, s.last)
	return s.trim()
}

// eventOverhead is the approximate number of bytes that the wire form adds to the data.
const eventOverhead = 64

// eventBuffer returns a buffer for an event of the given size. If the event would make
// the buffered ones exceed maxBuffered and the oldest of several has been sent, it drops
// the oldest and reuses its buffer if that is large enough.
func (s *session) eventBuffer(size int) []byte {
	if s.size+size > maxBuffered && len(s.events) > 1 && s.events[0].number <= s.sent {
		old := s.events[0].data
		s.size -= len(old)
		s.events = s.events[1:]
		if cap(old) >= size+eventOverhead {
			return old[:0]
		}
	}
	return make([]byte, 0, size+eventOverhead)
}

// trim drops the oldest events until the rest is within maxBuffered or one event is
// left. It returns errBehind instead of dropping an event that was never sent.
func (s *session) trim() error {
	for s.size > maxBuffered && len(s.events) > 1 {
		if s.events[0].number > s.sent {
			return errBehind
		}
		s.size -= len(s.events[0].data)
		s.events = s.events[1:]
	}
	return nil
}
