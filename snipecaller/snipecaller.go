// Package snipecaller is the callers' side of an instance: it authenticates
// the team, admits the call, chooses an upstream, retries where that is safe,
// and gives the one final answer.
//
// Invariants: a caller gets at most one final answer; once a chunk has gone
// out the call is never started again; a call that is not idempotent is
// started again only after a failure whose outcome is NotRun; the final answer
// of a call that has been given up on goes out at once.
package snipecaller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
)

// Headers of a call, beside those that HTTP and the OpenAI API define.
const (
	ClassHeader      = "Snipe-Class"
	TimeoutHeader    = "Snipe-Timeout"
	IdempotentHeader = "Snipe-Idempotent"
	KeyHeader        = "Idempotency-Key"
	RequestIDHeader  = "X-Request-Id"
	AdapterHeader    = "Snipe-Adapter"
)

const (
	// writeGrace is how long after its deadline a call may still be written to.
	writeGrace     = 5 * time.Second
	servicesPrefix = "/services/"
	maxKey         = 256
	// DefaultTimeout is the deadline of a call when neither the call nor the
	// team's settings state one.
	DefaultTimeout = 60 * time.Second
	// MaxTimeout bounds the deadline that a call may state.
	MaxTimeout = 30 * time.Minute
)

// Server is the callers' side. Exported fields are set before the first call.
type Server struct {
	// Tree returns the settings in force; nil before the first read.
	Tree func() *snipetree.Tree
	// Serve executes an admitted call with its retries.
	Serve func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Admit counts a call against its team's limits; release ends it.
	Admit func(c *snipecall.Call) (release func(), err error)
	// NewID returns an identifier for a call.
	NewID func() string
	// MaxBody bounds the body of a call in bytes, MaxHeader its header.
	MaxBody   int64
	MaxHeader int
	// BodyTimeout bounds the time in which the body must arrive.
	BodyTimeout time.Duration
	// Meter and Log take metrics and events.
	Meter *snipemeter.Meter
	Log   *snipelog.Logger

	stopping atomic.Bool
	inFlight atomic.Int64
}

// Stop makes the server refuse new calls.
func (s *Server) Stop() { s.stopping.Store(true) }

// InFlight returns the number of calls that have no final answer yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the routes of the callers' side.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+snipeupstream.CompletionsPath, s.handle)
	mux.HandleFunc("POST "+snipeupstream.ChatPath, s.handle)
	mux.HandleFunc(servicesPrefix, s.handle)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, s.NewID(), refused(snipeerror.ErrBadRequest, "no such call: "+r.Method+" "+strconv.Quote(r.URL.Path)))
	})
	return mux
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	start := time.Now()
	id := s.NewID()
	w.Header().Set(RequestIDHeader, id)
	c, err := s.parse(w, r, id)
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	controller := http.NewResponseController(w)
	// A caller that takes nothing must not hold the call for ever. Connections
	// without deadlines are those of tests.
	_ = controller.SetWriteDeadline(c.Deadline.Add(writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	release, err := s.Admit(c)
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	defer release()
	out := &reply{response: w, controller: controller, call: c}
	out.firstChunk = func() { s.observe(snipemeter.FirstChunk, c, start) }
	err = s.Serve(ctx, c, out.chunk)
	s.observe(snipemeter.CallDuration, c, start)
	if err != nil {
		f := snipeerror.From(err)
		// The caller first: a failure goes out at once.
		out.fail(f, id)
		s.countFailure(f)
		s.Log.Error(failureEvent(f), f, snipelog.Fields{"Call": id, "Team": c.Team, "Class": c.Class.String()})
	}
}

// failureEvent returns the event that a failure is logged as.
func failureEvent(f *snipeerror.CallError) snipelog.Event {
	switch {
	case errors.Is(f, snipeerror.ErrMismatch):
		return snipelog.AnswerWrong
	case errors.Is(f, snipeerror.ErrCanceled):
		return snipelog.CallCanceled
	}
	return snipelog.CallFailed
}

func (s *Server) observe(name string, c *snipecall.Call, start time.Time) {
	s.Meter.Observe(name, c.Team, c.Class.String(), time.Since(start))
}

func (s *Server) refuse(w http.ResponseWriter, id string, err error) {
	f := snipeerror.From(err)
	s.countFailure(f)
	f.Write(w, id)
}

func (s *Server) countFailure(f *snipeerror.CallError) {
	s.Meter.Count(`snipepitch_call_failures_total{code="` + f.Code() + `",outcome="` + string(f.Outcome) + `"}`)
}

func refused(kind error, reason string) error {
	return snipeerror.New(kind, snipeerror.NotRun, reason)
}

// headerSize returns the bytes of a request's line and header.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// stoppingRetry is what a caller is told to wait when the instance stops: the
// balancer sends the repetition elsewhere.
const stoppingRetry = time.Second

// parse authenticates the caller and reads the call.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, id string) (*snipecall.Call, error) {
	if s.stopping.Load() {
		return nil, snipeerror.New(snipeerror.ErrStopping, snipeerror.NotRun, "use another instance").After(stoppingRetry)
	}
	if headerSize(r) > s.MaxHeader {
		return nil, refused(snipeerror.ErrHeaderTooLarge, "header above "+strconv.Itoa(s.MaxHeader)+" bytes")
	}
	tree := s.Tree()
	if tree == nil {
		return nil, snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "no settings yet").After(stoppingRetry)
	}
	key, ok := snipecall.BearerKey(r.Header)
	if !ok {
		return nil, refused(snipeerror.ErrUnauthenticated, "no bearer key")
	}
	team, ok := tree.TeamOf(key)
	if !ok {
		return nil, refused(snipeerror.ErrUnauthenticated, "unknown key")
	}
	c := &snipecall.Call{ID: id, Team: team, Method: r.Method, Path: r.URL.Path, ContentType: r.Header.Get("Content-Type")}
	var err error
	if err = readHeaders(c, r, tree); err != nil {
		return nil, err
	}
	if c.Body, err = s.readBody(w, r); err != nil {
		return nil, err
	}
	if strings.HasPrefix(c.Path, servicesPrefix) {
		return c, readService(c, r, tree)
	}
	return c, readModel(c, tree)
}

// readBody reads the body within its bounds of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// net/http clears the deadline when it begins to watch for a caller that
	// goes away, after the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBody))
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refused(snipeerror.ErrTooLarge, "body above "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return refused(snipeerror.ErrBadRequest, "body: "+err.Error())
}

func readHeaders(c *snipecall.Call, r *http.Request, tree *snipetree.Tree) error {
	c.Class = snipecall.Standard
	if v := r.Header.Get(ClassHeader); v != "" {
		if err := c.Class.UnmarshalText([]byte(v)); err != nil {
			return refused(snipeerror.ErrBadRequest, ClassHeader+": "+err.Error())
		}
	}
	wait := tree.Deadline(c.Team, c.Class, DefaultTimeout)
	if v := r.Header.Get(TimeoutHeader); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > MaxTimeout {
			return refused(snipeerror.ErrBadRequest, TimeoutHeader+" must be a duration up to "+MaxTimeout.String())
		}
		wait = d
	}
	c.Deadline = time.Now().Add(wait)
	c.Idempotent = defaultIdempotent(c)
	if v := r.Header.Get(IdempotentHeader); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return refused(snipeerror.ErrBadRequest, IdempotentHeader+" must be true or false")
		}
		c.Idempotent = b
	}
	c.Key = r.Header.Get(KeyHeader)
	if len(c.Key) > maxKey {
		return refused(snipeerror.ErrBadRequest, KeyHeader+" above "+strconv.Itoa(maxKey)+" bytes")
	}
	return nil
}

// defaultIdempotent is used for a call that does not say: model calls are
// idempotent, service calls as HTTP defines their method.
func defaultIdempotent(c *snipecall.Call) bool {
	if !strings.HasPrefix(c.Path, servicesPrefix) {
		return true
	}
	switch c.Method {
	case http.MethodPost, http.MethodPatch:
		return false
	}
	return true
}

func readService(c *snipecall.Call, r *http.Request, tree *snipetree.Tree) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	for _, s := range tree.Teams[c.Team].Services {
		if s != name {
			continue
		}
		c.Service = name
		c.Path = "/" + rest
		if r.URL.RawQuery != "" {
			c.Path += "?" + r.URL.RawQuery
		}
		return nil
	}
	return refused(snipeerror.ErrUnknownService, strconv.Quote(name))
}
