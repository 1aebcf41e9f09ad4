package snipestand

import (
	"net/http"
	"strconv"
	"time"
)

// DeclaredRoute is a route as the co-operative platform's operators declare it.
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

// Kinds of routes.
const (
	RouteOnce   = "non_idempotent"
	RouteOften  = "idempotent"
	RouteStream = "streaming"
)

// DeclaredService is a service as operators declare it.
type DeclaredService struct {
	Name   string          `json:"name"`
	Engine *DeclaredEngine `json:"engine,omitempty"`
}

// DeclaredEngine describes the engines of a service.
type DeclaredEngine struct {
	AdapterSlots int             `json:"adapterSlots"`
	Models       []DeclaredModel `json:"models"`
}

// DeclaredModel is a base model of a service.
type DeclaredModel struct {
	Name string `json:"name"`
}

// DeclaredWorkspace is a workspace with its keys.
type DeclaredWorkspace struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
	// Unit, PerSecond and Burst are its quota; no quota where the rate is zero.
	Unit      string  `json:"unit,omitempty"`
	PerSecond float64 `json:"ratePerS,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
}

// Declared is what operators declare.
type Declared struct {
	Version    int                 `json:"version"`
	Routes     []DeclaredRoute     `json:"routes"`
	Services   []DeclaredService   `json:"services"`
	Workspaces []DeclaredWorkspace `json:"tenants,omitempty"`
	Limits     DeclaredLimits      `json:"limits"`
}

// DeclaredLimits bound what callers may send.
type DeclaredLimits struct {
	BodyBytes int `json:"maxBodyBytes"`
}

// Declare writes a version of what operators declare.
func (s *RowStore) Declare(d Declared) error { return s.Put("op", "config", d) }

// NameVersion declares a new version of an adapter.
func (s *RowStore) NameVersion(model, adapter string, version int64) error {
	return s.Put("op", "version/"+model+"."+adapter, struct {
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Version int64  `json:"version"`
	}{model, adapter, version})
}

// CallerHeader sets what a caller of the platform says of its request; model is empty
// for plain services, and MODEL/ADAPTER for an adapter.
func CallerHeader(h http.Header, id, key string, patience time.Duration, model string) {
	h.Set("Authorization", "Bearer "+key)
	h.Set("X-Snipepitch-Attempt-Id", id)
	h.Set("X-Snipepitch-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if model != "" {
		h.Set("X-Snipepitch-Model", model)
	}
}
