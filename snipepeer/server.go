package snipepeer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// maxWait bounds the time left that a hop may claim.
	maxWait = 24 * time.Hour
	// maxHop bounds the length of a hop's identifier.
	maxHop = 64
	// keptShare is how many hops may be known for each call in flight: ended
	// ones are kept for a while, so that their end can be fetched again.
	keptShare = 2
	// busyRetry is what a peer is told to wait when there are too many calls.
	busyRetry = time.Second
)

// Handler serves hops. Exported fields are set before the first request.
type Handler struct {
	// Execute executes a call on this instance.
	Execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Secret is what peers must show.
	Secret string
	// Beat is the time between two beats of a silent hop.
	Beat time.Duration
	// Window is how long a hop without a connection goes on, and how long an
	// ended one can be resumed.
	Window time.Duration
	// WriteTimeout bounds one write to a connection that takes nothing.
	WriteTimeout time.Duration
	// MaxBody bounds the body of a call in bytes, MaxCalls the calls in flight.
	MaxBody  int64
	MaxCalls int

	lock     sync.Mutex // guards the fields below
	sessions map[string]*session
	inFlight int
}

// InFlight returns the number of peers' calls that are executed here.
func (h *Handler) InFlight() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.inFlight
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(h.Secret)) != 1 {
		snipeerror.New(snipeerror.ErrUnauthenticated, snipeerror.NotRun, "peer secret").Write(w, "")
		return
	}
	id := r.Header.Get(hopHeader)
	if id == "" || len(id) > maxHop {
		snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, "hop identifier").Write(w, "")
		return
	}
	switch r.Method {
	case http.MethodPost:
		h.begin(w, r, id)
	case http.MethodGet:
		h.resume(w, r, id)
	case http.MethodDelete:
		h.cancel(w, id)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (h *Handler) begin(w http.ResponseWriter, r *http.Request, id string) {
	c, err := h.readCall(w, r)
	if err != nil {
		snipeerror.From(err).Write(w, "")
		return
	}
	// The call goes on without its connection, for the window.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.Deadline)
	defer cancel()
	s := &session{call: c, cancel: cancel, window: h.Window, done: make(chan struct{})}
	if err := h.add(id, s); err != nil {
		snipeerror.From(err).Write(w, c.ID)
		return
	}
	defer h.end(id, s)
	out := newConnection(w, h.WriteTimeout)
	s.attach(out, 0)
	stopWatch := context.AfterFunc(r.Context(), func() { s.detach(out) })
	defer stopWatch()
	stopBeat := s.beat(h.Beat)
	defer stopBeat()
	if err := h.Execute(ctx, c, s.chunk); err != nil {
		s.fail(snipeerror.From(err))
	}
}

func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (*snipecall.Call, error) {
	c, wait, err := DecodeCall(r.Header)
	if err != nil {
		return nil, snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	if c.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody)); err != nil {
		return nil, snipeerror.New(snipeerror.ErrTooLarge, snipeerror.NotRun, err.Error())
	}
	c.Deadline = time.Now().Add(wait)
	return c, nil
}

func (h *Handler) add(id string, s *session) error {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.sessions == nil {
		h.sessions = map[string]*session{}
	}
	if h.sessions[id] != nil {
		return snipeerror.New(snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "hop was begun before")
	}
	if h.inFlight >= h.MaxCalls {
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "too many calls of peers in flight").After(busyRetry)
	}
	h.sessions[id] = s
	h.inFlight++
	return nil
}

// end closes a session and forgets it after the window.
func (h *Handler) end(id string, s *session) {
	s.close()
	forget := func() {
		h.lock.Lock()
		defer h.lock.Unlock()
		delete(h.sessions, id)
	}
	h.lock.Lock()
	h.inFlight--
	crowded := len(h.sessions) > keptShare*h.MaxCalls
	h.lock.Unlock()
	if crowded {
		forget()
		return
	}
	time.AfterFunc(h.Window, forget)
}

func (h *Handler) find(id string) *session {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.sessions[id]
}

func (h *Handler) resume(w http.ResponseWriter, r *http.Request, id string) {
	after, err := strconv.ParseUint(r.Header.Get(afterHeader), 10, 64)
	if err != nil {
		snipeerror.New(snipeerror.ErrBadRequest, snipeerror.MayHaveRun, "number of the last event").Write(w, "")
		return
	}
	s := h.find(id)
	if s == nil {
		snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "peer does not know the hop").Write(w, "")
		return
	}
	out := newConnection(w, h.WriteTimeout)
	if !s.attach(out, after) {
		snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "peer has dropped the missing events").Write(w, s.call.ID)
		return
	}
	defer s.detach(out)
	select {
	case <-s.done:
	case <-r.Context().Done():
	}
}

func (h *Handler) cancel(w http.ResponseWriter, id string) {
	if s := h.find(id); s != nil {
		s.cancel()
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// DecodeCall reads a call's fields and the time left from the hop's headers.
func DecodeCall(header http.Header) (*snipecall.Call, time.Duration, error) {
	c := &snipecall.Call{}
	if err := json.Unmarshal([]byte(header.Get(callHeader)), c); err != nil {
		return nil, 0, errors.Wrap(ErrBadCall, err.Error())
	}
	if c.Class >= snipecall.Classes || c.Upstream == "" || c.Method == "" || c.Path == "" {
		return nil, 0, errors.Wrap(ErrBadCall, "class, upstream, method or path")
	}
	if !c.Adapter.IsZero() && c.Adapter.Team != c.Team {
		return nil, 0, errors.Wrap(ErrBadCall, "adapter of another team")
	}
	milliseconds, err := strconv.ParseInt(header.Get(waitHeader), 10, 64)
	if err != nil || milliseconds > maxWait.Milliseconds() || milliseconds < -maxWait.Milliseconds() {
		return nil, 0, errors.Wrap(ErrBadCall, "time left")
	}
	return c, time.Duration(milliseconds) * time.Millisecond, nil
}
