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
	// maxTimeLeft bounds the time left that a hop may state.
	maxTimeLeft = 24 * time.Hour
	// maxHopID bounds the length of a hop's identifier in bytes.
	maxHopID = 64
	// sessionsPerCall bounds the sessions kept, as a multiple of MaxCalls. The
	// sessions of ended hops are kept for a while, so that an entry can fetch
	// their last events again.
	sessionsPerCall = 2
	// overloadRetryAfter is the wait that a peer is asked for when too many calls
	// are in flight.
	overloadRetryAfter = time.Second
)

// Handler serves the hops of peers on the owner's side. Exported fields are set
// before the first request.
type Handler struct {
	// Execute executes a call on this instance.
	Execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Secret is the secret that peers must send.
	Secret string
	// HeartbeatInterval is the time between two heartbeats of a hop.
	HeartbeatInterval time.Duration
	// ResumeWindow is how long a hop without a connection continues, and how long an
	// ended hop can be resumed.
	ResumeWindow time.Duration
	// WriteTimeout bounds one write to a connection that is not read.
	WriteTimeout time.Duration
	// MaxBody bounds the body of a call in bytes, and MaxCalls the peers' calls in flight.
	MaxBody  int64
	MaxCalls int

	lock     sync.Mutex // guards the fields below
	sessions map[string]*session
	inFlight int
}

// InFlight returns the number of peers' calls that this instance is executing.
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
	if id == "" || len(id) > maxHopID {
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

// begin starts a hop, executes its call and writes the events to the request's
// connection, or to a later connection that resumes the hop.
func (h *Handler) begin(w http.ResponseWriter, r *http.Request, id string) {
	c, err := h.readCall(w, r)
	if err != nil {
		snipeerror.From(err).Write(w, "")
		return
	}
	// The call continues without a connection for up to ResumeWindow.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.Deadline)
	defer cancel()
	s := &session{call: c, cancel: cancel, window: h.ResumeWindow, done: make(chan struct{})}
	if err := h.add(id, s); err != nil {
		snipeerror.From(err).Write(w, c.ID)
		return
	}
	defer h.end(id, s)
	out := newConnection(w, h.WriteTimeout)
	s.attach(out, 0)
	stopWatch := context.AfterFunc(r.Context(), func() { s.detach(out) })
	defer stopWatch()
	stopHeartbeats := s.sendHeartbeats(h.HeartbeatInterval)
	defer stopHeartbeats()
	if err := h.Execute(ctx, c, s.sendChunk); err != nil {
		s.sendFailure(snipeerror.From(err))
	}
}

// readCall reads a call from the request that begins a hop.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (*snipecall.Call, error) {
	c, timeLeft, err := DecodeCall(r.Header)
	if err != nil {
		return nil, snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	if c.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody)); err != nil {
		return nil, snipeerror.New(snipeerror.ErrTooLarge, snipeerror.NotRun, err.Error())
	}
	c.Deadline = time.Now().Add(timeLeft)
	return c, nil
}

// add registers the session of a new hop. It refuses a known identifier, and a call
// above MaxCalls.
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
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "too many calls of peers in flight").After(overloadRetryAfter)
	}
	h.sessions[id] = s
	h.inFlight++
	return nil
}

// end closes a session and removes it after ResumeWindow, or at once if too many
// sessions are kept.
func (h *Handler) end(id string, s *session) {
	s.close()
	remove := func() {
		h.lock.Lock()
		defer h.lock.Unlock()
		delete(h.sessions, id)
	}
	h.lock.Lock()
	h.inFlight--
	overloaded := len(h.sessions) > sessionsPerCall*h.MaxCalls
	h.lock.Unlock()
	if overloaded {
		remove()
		return
	}
	time.AfterFunc(h.ResumeWindow, remove)
}

// find returns the session of a hop, or nil if the hop is unknown.
func (h *Handler) find(id string) *session {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.sessions[id]
}

// resume writes the events after the number in the request's header to a new
// connection, until the hop or the connection ends.
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

// cancel cancels the call of a hop; the status is 404 if the hop is unknown.
func (h *Handler) cancel(w http.ResponseWriter, id string) {
	if s := h.find(id); s != nil {
		s.cancel()
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// DecodeCall returns a call's fields other than the body, and the time left until its
// deadline, which may be negative, from a hop's headers. The call's Deadline is by the
// sender's clock: the caller replaces it. Errors wrap ErrBadCall.
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
	if err != nil || milliseconds > maxTimeLeft.Milliseconds() || milliseconds < -maxTimeLeft.Milliseconds() {
		return nil, 0, errors.Wrap(ErrBadCall, "time left")
	}
	return c, time.Duration(milliseconds) * time.Millisecond, nil
}
