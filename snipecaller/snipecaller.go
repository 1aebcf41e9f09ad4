// Package snipecaller implements the API that an instance serves to callers: it
// authenticates the team, admits the call, passes it to Server.Serve, which
// chooses an upstream and retries where that is safe, and sends the one final
// answer.
//
// Invariants: a caller gets at most one final answer; once a chunk has been
// sent, the call is never started again; a call that is not idempotent is
// started again only after a failure whose outcome is NotRun; the final answer
// of a call that has failed for good is sent at once.
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
	"snipepitch.example/snipepitch/snipestop"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
)

// Headers of calls and answers, besides those that HTTP and the OpenAI API define.
const (
	ClassHeader      = "Snipe-Class"
	TimeoutHeader    = "Snipe-Timeout"
	IdempotentHeader = "Snipe-Idempotent"
	KeyHeader        = "Idempotency-Key"
	RequestIDHeader  = "X-Request-Id"
	AdapterHeader    = "Snipe-Adapter"
)

const (
	// writeGrace is how long after a call's deadline its answer may still be
	// written.
	writeGrace     = 5 * time.Second
	servicesPrefix = "/services/"
	// maxKeyBytes bounds the length of a call's idempotency key.
	maxKeyBytes = 256
	// DefaultTimeout is the time from the arrival of a call to its deadline when
	// neither the call nor the team's settings state one.
	DefaultTimeout = 60 * time.Second
	// MaxTimeout bounds the time that a call may state in TimeoutHeader.
	MaxTimeout = 30 * time.Minute
)

// Server serves the callers' API. Exported fields are set before the first call.
type Server struct {
	// Tree returns the settings in force, or nil before they are first read.
	Tree func() *snipetree.Tree
	// Serve executes an admitted call with its retries.
	Serve func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Admit counts a call against its team's limits until release is called. It
	// returns an error if the limits do not admit the call.
	Admit func(c *snipecall.Call) (release func(), err error)
	// NewID returns an identifier for a call.
	NewID func() string
	// MaxBody bounds the body of a call in bytes, MaxHeader its request line
	// and header.
	MaxBody   int64
	MaxHeader int
	// BodyTimeout bounds the time in which the body must arrive.
	BodyTimeout time.Duration
	// Meter records metrics, Log events.
	Meter *snipemeter.Meter
	Log   *snipelog.Logger
	// Ending is the end of a planned stop: calls that are not expected to be answered before it are refused, and those in
	// flight get a final answer.
	Ending snipestop.Stop

	stopping  atomic.Bool
	inFlight  atomic.Int64
	durations snipestop.Durations
}

// Stop makes the server refuse new calls with ErrStopping. Calls in flight go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// InFlight returns the number of requests to the API's routes whose handling has not
// ended, including requests that are about to be refused.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the routes of the callers' API.
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
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	watch := &snipestop.Watch{Cancel: cancel}
	s.Ending.Enter(watch)
	defer s.Ending.Leave(watch)
	c, err := s.parse(w, r, id, watch)
	if err != nil {
		s.refuse(w, id, stoppedError(ctx, err))
		return
	}
	watch.SetTimes(c.Deadline, s.durations.Longest(durationKind(c)))
	if s.Ending.TooLate(watch) {
		s.refuse(w, id, stoppingError())
		return
	}
	watch.SetSent(true)
	controller := http.NewResponseController(w)
	// A caller that reads nothing must not keep the call open without bound.
	// Only connections in tests do not support deadlines.
	_ = controller.SetWriteDeadline(c.Deadline.Add(writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	release, err := s.Admit(c)
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	defer release()
	s.serve(ctx, c, &reply{response: w, controller: controller, call: c}, start)
}

// serve serves an admitted call, which arrived at start.
func (s *Server) serve(ctx context.Context, c *snipecall.Call, out *reply, start time.Time) {
	bounded, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	out.firstChunk = func() { s.observe(snipemeter.FirstChunk, c, start) }
	err := s.Serve(bounded, c, out.chunk)
	s.observe(snipemeter.CallDuration, c, start)
	if err == nil {
		s.durations.Record(durationKind(c), time.Since(start))
		return
	}
	f := snipeerror.From(stoppedError(ctx, err))
	// The failure is sent before it is counted and logged, so that the
	// caller receives it at once.
	out.fail(f, c.ID)
	s.countFailure(f)
	s.Log.Error(failureEvent(f), f, snipelog.Fields{"Call": c.ID, "Team": c.Team, "Class": c.Class.String()})
}

// durationKind returns the kind of a call for the estimate of how long it takes.
func durationKind(c *snipecall.Call) string { return c.Class.String() + " " + c.Service }

// stoppingError returns the refusal of a call that another instance can serve.
func stoppingError() *snipeerror.CallError {
	return snipeerror.New(snipeerror.ErrStopping, snipeerror.NotRun, "use another instance").After(notReadyRetryAfter)
}

// stoppedError returns the error of a call that failed with err: another one if the end of a planned stop has ended it.
func stoppedError(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), snipestop.ErrStopped) {
		return err
	}
	if snipeerror.From(err).Outcome == snipeerror.NotRun {
		return stoppingError()
	}
	return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, snipestop.ErrStopped.Error())
}

// failureEvent returns the log event of a failure.
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

// headerSize returns the bytes of a request's URI and host and of the names and values
// in its header, without separators.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// notReadyRetryAfter is the Retry-After of calls that are refused because the
// instance is stopping or has no settings yet. The load balancer sends the
// retry to another instance.
const notReadyRetryAfter = time.Second

// parse authenticates the caller and reads the call.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, id string, watch *snipestop.Watch) (*snipecall.Call, error) {
	if s.stopping.Load() {
		return nil, stoppingError()
	}
	if headerSize(r) > s.MaxHeader {
		return nil, refused(snipeerror.ErrHeaderTooLarge, "header above "+strconv.Itoa(s.MaxHeader)+" bytes")
	}
	tree := s.Tree()
	if tree == nil {
		return nil, snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "no settings yet").After(notReadyRetryAfter)
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
	if c.Body, err = s.readBody(w, r, watch); err != nil {
		return nil, err
	}
	if strings.HasPrefix(c.Path, servicesPrefix) {
		return c, readService(c, r, tree)
	}
	return c, readModel(c, tree)
}

// readBody reads the body of a request, bounded by MaxBody and BodyTimeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, watch *snipestop.Watch) ([]byte, error) {
	watch.BeginBody(http.NewResponseController(w), time.Now().Add(s.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBody))
	watch.EndBody(err == nil)
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// bodyError returns the refusal for an error from reading a body.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refused(snipeerror.ErrTooLarge, "body above "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return refused(snipeerror.ErrBadRequest, "body: "+err.Error())
}

// readHeaders fills in the class, deadline, idempotency and key of a call from
// its headers, the team's settings and the defaults.
func readHeaders(c *snipecall.Call, r *http.Request, tree *snipetree.Tree) error {
	c.Class = snipecall.Standard
	if v := r.Header.Get(ClassHeader); v != "" {
		if err := c.Class.UnmarshalText([]byte(v)); err != nil {
			return refused(snipeerror.ErrBadRequest, ClassHeader+": "+err.Error())
		}
	}
	timeout := tree.Deadline(c.Team, c.Class, DefaultTimeout)
	if v := r.Header.Get(TimeoutHeader); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > MaxTimeout {
			return refused(snipeerror.ErrBadRequest, TimeoutHeader+" must be a duration up to "+MaxTimeout.String())
		}
		timeout = d
	}
	c.Deadline = time.Now().Add(timeout)
	c.Idempotent = defaultIdempotent(c)
	if v := r.Header.Get(IdempotentHeader); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return refused(snipeerror.ErrBadRequest, IdempotentHeader+" must be true or false")
		}
		c.Idempotent = b
	}
	c.Key = r.Header.Get(KeyHeader)
	if len(c.Key) > maxKeyBytes {
		return refused(snipeerror.ErrBadRequest, KeyHeader+" above "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	return nil
}

// defaultIdempotent reports whether a call without IdempotentHeader counts as
// idempotent: model calls do, service calls do if HTTP defines their method as
// idempotent, that is all but POST and PATCH.
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

// readService fills in the service and path of a service call from its URL. It refuses
// a service that the team does not have.
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
