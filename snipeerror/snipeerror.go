// Package snipeerror defines the typed failures of a call.
//
// Every failure has a kind and an outcome. The kind is one of the sentinel values
// below and is tested with errors.Is. The outcome reports whether an upstream may have
// executed the call. Callers rely on this invariant: a failure with the outcome NotRun
// is created only where it is certain that no upstream has executed the call or will
// execute it later.
package snipeerror

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kinds of failures. Each is the sentinel that errors.Is finds in a CallError.
var (
	ErrBadRequest      = errors.New("bad request")
	ErrUnauthenticated = errors.New("unauthenticated")
	ErrForbidden       = errors.New("forbidden")
	ErrUnknownAdapter  = errors.New("unknown adapter")
	ErrUnknownService  = errors.New("unknown service")
	ErrTooLarge        = errors.New("too large")
	ErrHeaderTooLarge  = errors.New("header too large")
	ErrLimited         = errors.New("refused by limit")
	ErrOverloaded      = errors.New("overloaded")
	ErrNoUpstream      = errors.New("no upstream")
	ErrDeadline        = errors.New("deadline exceeded")
	ErrLoadFailed      = errors.New("adapter load failed")
	ErrUpstreamFailed  = errors.New("upstream failed")
	ErrIncomplete      = errors.New("answer incomplete")
	ErrMismatch        = errors.New("answer of another adapter")
	ErrQuarantined     = errors.New("quarantined")
	ErrDuplicate       = errors.New("duplicate request key")
	ErrUnavailable     = errors.New("platform unavailable")
	ErrStopping        = errors.New("instance stopping")
	ErrNotOwner        = errors.New("not the owner")
	ErrCanceled        = errors.New("canceled by the caller")
	// ErrNotResumable means that a stream cannot go on: its software version is not known, or no
	// upstream runs it.
	ErrNotResumable = errors.New("stream cannot go on")
)

// Outcome reports whether the call may have been executed.
type Outcome string

// The outcomes of a failed call.
const (
	// NotRun means that no upstream has executed the call or will execute it later.
	NotRun Outcome = "NotRun"
	// MayHaveRun means that an upstream may have executed the call, wholly or in part,
	// or may still execute it.
	MayHaveRun Outcome = "MayHaveRun"
)

// kind maps a sentinel to its wire code and HTTP status.
type kind struct {
	sentinel error
	code     string
	status   int
}

var kinds = []kind{
	{ErrBadRequest, "BadRequest", http.StatusBadRequest},
	{ErrUnauthenticated, "Unauthenticated", http.StatusUnauthorized},
	{ErrForbidden, "Forbidden", http.StatusForbidden},
	{ErrUnknownAdapter, "UnknownAdapter", http.StatusNotFound},
	{ErrUnknownService, "UnknownService", http.StatusNotFound},
	{ErrTooLarge, "TooLarge", http.StatusRequestEntityTooLarge},
	{ErrHeaderTooLarge, "HeaderTooLarge", http.StatusRequestHeaderFieldsTooLarge},
	{ErrLimited, "RefusedByLimit", http.StatusTooManyRequests},
	{ErrOverloaded, "Overloaded", http.StatusServiceUnavailable},
	{ErrNoUpstream, "NoUpstream", http.StatusServiceUnavailable},
	{ErrDeadline, "DeadlineExceeded", http.StatusGatewayTimeout},
	{ErrLoadFailed, "LoadFailed", http.StatusServiceUnavailable},
	{ErrUpstreamFailed, "UpstreamFailed", http.StatusBadGateway},
	{ErrIncomplete, "AnswerIncomplete", http.StatusBadGateway},
	{ErrMismatch, "AnswerMismatch", http.StatusBadGateway},
	{ErrQuarantined, "Quarantined", http.StatusServiceUnavailable},
	{ErrDuplicate, "DuplicateRequestKey", http.StatusConflict},
	{ErrUnavailable, "PlatformUnavailable", http.StatusServiceUnavailable},
	{ErrStopping, "Stopping", http.StatusServiceUnavailable},
	{ErrNotOwner, "NotOwner", http.StatusMisdirectedRequest},
	{ErrCanceled, "Canceled", http.StatusRequestTimeout},
	{ErrNotResumable, "NotResumable", http.StatusServiceUnavailable},
}

// CallError is the error that a failed call ends with.
type CallError struct {
	// Kind is one of the package's sentinel values.
	Kind error
	// Outcome reports whether the call may have been executed.
	Outcome Outcome
	// Reason is one line of text for people. It contains no key and no prompt.
	Reason string
	// RetryAfter is the time after which a retry may succeed; zero when it is unknown.
	RetryAfter time.Duration
}

// New returns a failure of the given kind and outcome.
func New(kind error, outcome Outcome, reason string) *CallError {
	return &CallError{Kind: kind, Outcome: outcome, Reason: reason}
}

// After sets RetryAfter, the time after which a retry may succeed, and returns f.
func (f *CallError) After(d time.Duration) *CallError {
	f.RetryAfter = d
	return f
}

// Error implements error.
func (f *CallError) Error() string {
	return f.Kind.Error() + " (" + string(f.Outcome) + "): " + f.Reason
}

// Unwrap returns the kind, so that errors.Is finds the sentinel.
func (f *CallError) Unwrap() error { return f.Kind }

// From returns the CallError that err is or wraps. Any other error becomes
// ErrUpstreamFailed with the outcome MayHaveRun, the safe assumption.
func From(err error) *CallError {
	var f *CallError
	if errors.As(err, &f) {
		return f
	}
	return New(ErrUpstreamFailed, MayHaveRun, err.Error())
}

// Code returns the wire code of the failure's kind.
func (f *CallError) Code() string {
	k := lookup(f.Kind)
	return k.code
}

// Status returns the HTTP status of the failure's kind.
func (f *CallError) Status() int {
	k := lookup(f.Kind)
	return k.status
}

// lookup returns the entry of kinds for a sentinel. An unknown sentinel is an internal
// error.
func lookup(sentinel error) kind {
	for _, k := range kinds {
		if errors.Is(sentinel, k.sentinel) {
			return k
		}
	}
	return kind{sentinel, "Internal", http.StatusInternalServerError}
}
