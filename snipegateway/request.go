package snipegateway

import (
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipesignal"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller says of its request, beside method, path and body.
type Request struct {
	// ID names this attempt of the caller.
	ID string
	// Patience is how long the caller waits; zero when it does not say.
	Patience time.Duration
	// LastEvent is the last event that the caller has of the stream.
	LastEvent string
	// Adapter is what the request is for; its Model is empty for plain services.
	Adapter snipecatalog.Adapter
	// PromptTokens and OutputTokens are its size.
	PromptTokens int
	OutputTokens int
	// Sized tells that the caller has stated these two.
	Sized bool
	// Parts are the parts of its prompt, in their order.
	Parts []Part
}

// shared returns how many tokens the prompt shares with others, and the last part that
// it shares, which tells all those before it. The last part of all is the request's own.
func (q *Request) shared() (tokens int, last string) {
	for n := range len(q.Parts) - 1 {
		tokens += q.Parts[n].Tokens
		last = q.Parts[n].ID
	}
	return tokens, last
}

// Dispatch is how a request goes to an upstream.
type Dispatch struct {
	Upstream *snipedirectory.Upstream
	// Left is the time that the upstream may take.
	Left time.Duration
	// Version is the adapter's version that the upstream must hold; zero for any.
	Version int64
	// Priority ranks the request among those of the upstream; 0 is first.
	Priority int
	// LastEvent is where a stream goes on; empty for its beginning.
	LastEvent string
	// Workspace is whom the caller's key belongs to; empty where no key was needed.
	Workspace string
}

// Load is what an upstream says of its load in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Verdict is what an upstream's answer says beside its content.
type Verdict struct {
	// Genuine answers carry the upstream's receipt.
	Genuine bool
	// NotRun: the upstream states that it did not run the request.
	NotRun bool
	// Elsewhere: another upstream has the address.
	Elsewhere bool
	// Missing: the upstream does not hold the adapter in the expected version.
	Missing bool
	// Load is nil when the answer does not tell.
	Load *Load
	// Signal is what the answer says of the upstream.
	Signal snipesignal.Signal
}

// says reports whether an answer tells of the upstream that was asked: what it does not say counts
// only where the answer is the upstream's own.
func (v *Verdict) says() bool {
	return !v.Elsewhere && (v.Genuine || v.Signal != (snipesignal.Signal{}))
}

// Protocol translates between the gateway and the formats around it.
type Protocol struct {
	// Decode reads what a caller says of its request.
	Decode func(r *http.Request) (Request, error)
	// Prepare makes a caller's header that of a request to an upstream.
	Prepare func(h http.Header, d Dispatch)
	// Judge reads what an upstream's answer says beside its content.
	Judge func(a *http.Response, d Dispatch) Verdict
	// Sign puts the request's identifier on an answer of this instance.
	Sign func(h http.Header, id string)
}
