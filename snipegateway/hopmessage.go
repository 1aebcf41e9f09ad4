package snipegateway

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipesoftware"
)

const (
	// HopPath is the path of hops at the peer address of an instance.
	HopPath = "/hop"
	// hopHeader carries a hopRequest, or a hopResult, as JSON in base64.
	hopHeader = "Snipepitch-Hop"
	// hopIDHeader carries the request's identifier, in the hop and in its answer.
	hopIDHeader = "Snipepitch-Hop-Id"
)

// errHop marks a message of another instance that cannot be understood.
var errHop = errors.New("hop cannot be understood")

// hopRequest is what a peer is told about a request beside its header and its body.
type hopRequest struct {
	// From is the name of the instance that the caller asked.
	From string
	// Method, Target and Host are those of the caller's request. JSON would replace bytes that are no UTF-8.
	Method       string
	Target, Host []byte
	// ElapsedMilliseconds is the time since the request arrived.
	ElapsedMilliseconds int64
	// Catalog is the version of the catalog by which the request was admitted, and Workspace the name of the
	// workspace of its key; empty if it has none. Key is the digest of the key; nil from a peer of an earlier release.
	Catalog   int64
	Workspace string                  `json:",omitempty"`
	Key       *snipecatalog.KeyDigest `json:",omitempty"`
	// LastEvent is the event after which a stream is resumed.
	LastEvent []byte `json:",omitempty"`
	// Software is the software version at which the stream began; nil if it has not begun.
	Software *snipesoftware.Version `json:",omitempty"`
	// Tried holds the upstreams that have received the request before.
	Tried []string `json:",omitempty"`
}

// check returns an error if the message cannot be that of an instance.
func (h *hopRequest) check() error {
	if h.Method == "" || len(h.Target) == 0 || h.From == "" || h.ElapsedMilliseconds < 0 {
		return errors.Wrap(errHop, "a field is missing")
	}
	return nil
}

func (h *hopRequest) elapsed() time.Duration {
	return time.Duration(h.ElapsedMilliseconds) * time.Millisecond
}

// hopResult is what a peer says about its attempt.
type hopResult struct {
	// Answer is set if the message is the answer of Upstream. Otherwise its body is the failure.
	Answer bool `json:",omitempty"`
	// Upstream is the upstream that has received the request; empty if none has.
	Upstream string `json:",omitempty"`
	// Software is the software version of Upstream; nil if it is not known.
	Software *snipesoftware.Version `json:",omitempty"`
	// Declined is set if the peer has made no attempt, so that another peer may be asked, Unreachable if that
	// is because it can open no connection to the service.
	Declined    bool `json:",omitempty"`
	Unreachable bool `json:",omitempty"`
}

// encodeHop encodes a message for hopHeader.
func encodeHop(message any) string {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // the messages consist of strings, numbers and booleans
	}
	return base64.StdEncoding.EncodeToString(data)
}

// decodeHop decodes the message in hopHeader. Its errors wrap errHop.
func decodeHop(h http.Header, message any) error {
	data, err := base64.StdEncoding.DecodeString(h.Get(hopHeader))
	if err != nil {
		return errors.Wrap(errHop, err.Error())
	}
	if err := json.Unmarshal(data, message); err != nil {
		return errors.Wrap(errHop, err.Error())
	}
	return nil
}

// HopIdentifier returns the identifier of a hop, or that of the hop to which an answer belongs; see snipelink.Pool.
func HopIdentifier(h http.Header) string { return h.Get(hopIDHeader) }
