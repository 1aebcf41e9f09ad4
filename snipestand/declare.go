package snipestand

import (
	"net/http"
	"strconv"
	"time"
)

// DeclaredRoute is a route as the operators of the co-operative platform declare it. Times are in
// milliseconds.
type DeclaredRoute struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"routeKind"`
	Service     string  `json:"service"`
	Timeout     float64 `json:"timeoutMs"`
	Target      float64 `json:"targetLatencyMs"`
	MaxAttempts int     `json:"maxAttempts"`
	Resumable   bool    `json:"resumable"`
}

// The kinds of routes, as declared in DeclaredRoute.Kind.
const (
	RouteNonIdempotent = "non_idempotent"
	RouteIdempotent    = "idempotent"
	RouteStream        = "streaming"
)

// DeclaredService is a service as operators declare it.
type DeclaredService struct {
	Name   string          `json:"name"`
	Engine *DeclaredEngine `json:"engine,omitempty"`
}

// DeclaredEngine describes the model engines of a service.
type DeclaredEngine struct {
	AdapterSlots int             `json:"adapterSlots"`
	Models       []DeclaredModel `json:"models"`
}

// DeclaredModel is a base model that the engines of a service serve.
type DeclaredModel struct {
	Name string `json:"name"`
}

// DeclaredWorkspace is a workspace with its API keys and its quota.
type DeclaredWorkspace struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
	// Unit, PerSecond and Burst define the quota. The workspace has no quota if PerSecond is zero.
	Unit      string  `json:"unit,omitempty"`
	PerSecond float64 `json:"ratePerS,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
}

// Declared is the configuration document that operators declare.
type Declared struct {
	Version    int                 `json:"version"`
	Routes     []DeclaredRoute     `json:"routes"`
	Services   []DeclaredService   `json:"services"`
	Workspaces []DeclaredWorkspace `json:"tenants,omitempty"`
	Limits     DeclaredLimits      `json:"limits"`
}

// DeclaredLimits bounds the requests of callers.
type DeclaredLimits struct {
	BodyBytes int `json:"maxBodyBytes"`
}

// Declare writes a version of the operators' configuration to the store.
func (s *RowStore) Declare(d Declared) error { return s.Put("op", "config", d) }

// DeclareVersion declares a new version of an adapter in the store.
func (s *RowStore) DeclareVersion(model, adapter string, version int64) error {
	return s.Put("op", "version/"+model+"."+adapter, struct {
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Version int64  `json:"version"`
	}{model, adapter, version})
}

// CallerHeader sets the headers that a caller of the platform sends with a request: its API key,
// the identifier of the attempt, and the time that the caller waits. The model is empty for plain
// services, and MODEL/ADAPTER for an adapter.
func CallerHeader(h http.Header, id, key string, maxWait time.Duration, model string) {
	h.Set("Authorization", "Bearer "+key)
	h.Set("X-Snipepitch-Attempt-Id", id)
	h.Set("X-Snipepitch-Deadline-Ms", strconv.FormatInt(maxWait.Milliseconds(), 10))
	if model != "" {
		h.Set("X-Snipepitch-Model", model)
	}
}

// Signed reports whether an answer bears the signature of an upstream.
func Signed(h http.Header) bool { return h.Get(signatureHeader) != "" }

// signatureHeader carries the signature of an upstream.
const signatureHeader = "X-Snipepitch-Server-Seal"

// PromptHeader sets the header with which a caller states the parts of a prompt, each as ID:TOKENS, separated by commas.
func PromptHeader(h http.Header, parts string) { h.Set("X-Snipepitch-Prompt-Prefix", parts) }
