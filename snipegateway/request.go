package snipegateway

import (
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipesignal"
)

// PromptPart is a section of a prompt. Prompts of several requests may begin with the same parts.
type PromptPart struct {
	// ID identifies the section's text and that of all sections before it.
	ID string
	// Tokens is the size of this section alone.
	Tokens int
}

// Request holds what a caller states about its request in addition to method, path and body.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// MaxWait is the longest time that the caller waits, counted from the request's arrival; zero
	// if the caller states none.
	MaxWait time.Duration
	// LastEvent is the identifier of the last event that the caller has received of the stream
	// that it resumes; empty if the caller resumes none.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that it
	// resumes; empty if the caller names none.
	Resumes string
	// Adapter is the adapter that the request is for; its Model is empty for plain services.
	Adapter snipecatalog.Adapter
	// PromptTokens and OutputTokens are the sizes of the prompt and the output; zero if not stated.
	PromptTokens int
	OutputTokens int
	// LengthHint is the caller's estimate of the output tokens; zero if there is no valid one.
	LengthHint int
	// SizeStated is set if the caller stated both sizes.
	SizeStated bool
	// Parts are the parts of the prompt in order; nil if the caller states none.
	Parts []PromptPart
	// Priority, Workspace and Target are not stated by the caller; the gateway sets them from the
	// route and the workspace. Priority ranks the request, 0 being the most urgent. Workspace is
	// empty if the request has none. Target is when the request misses its latency target; zero if
	// the route has none.
	Priority  int
	Workspace string
	Target    time.Time
	// software decides which software versions may answer the request.
	software softwareRule
}

// sharedPrefix returns how many tokens the prompt shares with other requests, and the identifier of
// the last shared part, which also identifies the parts before it. The last part of the prompt
// belongs to this request alone and does not count, so a prompt of fewer than two parts shares
// nothing.
func (q *Request) sharedPrefix() (tokens int, lastPart string) {
	for n := range len(q.Parts) - 1 {
		tokens += q.Parts[n].Tokens
		lastPart = q.Parts[n].ID
	}
	return tokens, lastPart
}

// Dispatch describes how a request is sent to an upstream.
type Dispatch struct {
	Upstream *snipedirectory.Upstream
	// TimeLeft is the time until the request's deadline, which the upstream may take.
	TimeLeft time.Duration
	// Version is the adapter version that the upstream must hold; zero for any.
	Version int64
	// Priority ranks the request among the upstream's requests; 0 is the most urgent.
	Priority int
	// LastEvent is the event after which a stream is resumed; empty to start at its beginning.
	LastEvent string
	// Workspace is the name of the workspace of the caller's key; empty if the request has none.
	Workspace string
}

// Load is the load that an upstream states in an answer: the requests that it runs, those that wait
// in its queue, and how many it can run at once.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the upstream at this moment, as a multiple of the usual time;
	// zero if the upstream does not state it.
	Pace float64
}

// IgnoredHeaders counts header values that were ignored because they were invalid.
type IgnoredHeaders struct {
	// Loads counts loads of upstreams, LengthHints callers' estimates of the output.
	Loads, LengthHints uint64
}

// AnswerState is what the headers and the status of an upstream's answer say about the request and
// the upstream.
type AnswerState struct {
	// Signed is set if the answer has the header of the upstream's signature. The value of the
	// header is not verified.
	Signed bool
	// NotRun is set if the answer states that the upstream did not run the request: by a header, or
	// by the status 421.
	NotRun bool
	// Elsewhere is set if the status is 421 and the answer names an upstream other than the one in
	// the Dispatch, so that another upstream now has the address.
	Elsewhere bool
	// Missing is set if the status is 421 and Elsewhere is not set: the upstream does not hold the
	// adapter in the expected version. It is set for an answer of a plain service too. The gateway
	// does not read it: for a request for an adapter, it records each refusal without a backoff as
	// the absence of the adapter.
	Missing bool
	// Load is nil if the answer states no load or an invalid one.
	Load *Load
	// Signal is what the upstream signals about itself in the answer.
	Signal snipesignal.Signal
}

// signalApplies reports whether an answer's signal, or the lack of one, is recorded for the
// upstream that the request was sent to. A signal is recorded unless another upstream has the
// address. The lack of a signal is recorded only if the answer also has the header of a signature.
func (v *AnswerState) signalApplies() bool {
	return !v.Elsewhere && (v.Signed || v.Signal != (snipesignal.Signal{}))
}

// Protocol translates between the gateway and the formats of callers and upstreams.
type Protocol struct {
	// Decode reads what a caller states about its request. The text of its error is returned to the
	// caller.
	Decode func(r *http.Request) (Request, error)
	// Prepare turns a caller's header into the header of a request to an upstream.
	Prepare func(h http.Header, d Dispatch)
	// Classify reads what the headers and the status of an upstream's answer say. It does not read
	// the body.
	Classify func(a *http.Response, d Dispatch) AnswerState
	// Ignored returns the numbers of invalid header values that Decode and Classify have ignored;
	// nil if they are not counted.
	Ignored func() IgnoredHeaders
	// Sign adds the request's identifier to an answer of this instance.
	Sign func(h http.Header, id string)
}
