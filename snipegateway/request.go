package snipegateway

import (
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipesignal"
)

// PromptPart is a section of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds what a caller states about its request in addition to method, path and body.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// MaxWait is the longest time that the caller waits; zero if not stated.
	MaxWait time.Duration
	// LastEvent is the identifier of the last event of the stream that the caller has.
	LastEvent string
	// Adapter is the adapter that the request is for; its Model is empty for plain services.
	Adapter snipecatalog.Adapter
	// PromptTokens and OutputTokens are the sizes of the prompt and the output.
	PromptTokens int
	OutputTokens int
	// SizeStated is set if the caller stated both sizes.
	SizeStated bool
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
}

// sharedPrefix returns how many tokens the prompt shares with other requests, and the identifier of
// the last shared part, which also identifies the parts before it. The last part of the prompt
// belongs to this request alone and does not count.
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
	// TimeLeft is the time that the upstream may take.
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

// Load is the load that an upstream states in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// AnswerState is what an upstream's answer states in addition to its content.
type AnswerState struct {
	// Signed is set if the answer carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Elsewhere is set if another upstream answered at the address.
	Elsewhere bool
	// Missing is set if the upstream does not hold the adapter in the expected version.
	Missing bool
	// Load is nil if the answer does not state it.
	Load *Load
	// Signal is what the upstream signals about itself in the answer.
	Signal snipesignal.Signal
}

// signalApplies reports whether an answer's signal, or the lack of one, applies to the upstream
// that the request was sent to. The lack of a signal counts only in an answer that this upstream
// signed.
func (v *AnswerState) signalApplies() bool {
	return !v.Elsewhere && (v.Signed || v.Signal != (snipesignal.Signal{}))
}

// Protocol translates between the gateway and the formats of callers and upstreams.
type Protocol struct {
	// Decode reads what a caller states about its request.
	Decode func(r *http.Request) (Request, error)
	// Prepare turns a caller's header into the header of a request to an upstream.
	Prepare func(h http.Header, d Dispatch)
	// Classify reads what an upstream's answer states in addition to its content.
	Classify func(a *http.Response, d Dispatch) AnswerState
	// Sign adds the request's identifier to an answer of this instance.
	Sign func(h http.Header, id string)
}
