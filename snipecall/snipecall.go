// Package snipecall defines the messages that the components of an instance pass
// to each other: the call of a caller, the chunks of its answer, and the names
// that occur in both.
//
// A Call is immutable once its caller has been admitted. A component that needs a
// different one, such as for a retry at another upstream, makes a copy.
package snipecall

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxNameLength bounds the length of a team, adapter, version or service name.
const maxNameLength = 128

// ErrBadName is returned for a name that is empty, too long, or contains bytes other
// than ASCII letters, digits, '.', '_' and '-'. It is also returned for a model name
// without a version, and for an adapter without a team.
var ErrBadName = errors.New("bad name")

// ErrBadClass is returned for a class that does not exist.
var ErrBadClass = errors.New("unknown class")

// CheckName returns ErrBadName unless name is a valid name.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameLength {
		return errors.Wrapf(ErrBadName, "%d bytes", len(name))
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return errors.Wrapf(ErrBadName, "%q", name)
		}
	}
	return nil
}

func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-'
}

// Adapter names one version of one team's adapter.
type Adapter struct {
	Team    string
	Name    string
	Version string
}

// String returns the adapter as team/name@version.
func (a Adapter) String() string { return a.Team + "/" + a.Name + "@" + a.Version }

// Model returns name@version, the model name that the team's callers use.
func (a Adapter) Model() string { return a.Name + "@" + a.Version }

// IsZero reports whether a is the zero Adapter, which names no adapter.
func (a Adapter) IsZero() bool { return a == Adapter{} }

// MarshalText implements encoding.TextMarshaler.
func (a Adapter) MarshalText() ([]byte, error) {
	if a.IsZero() {
		return nil, nil
	}
	return []byte(a.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler; the empty text is the
// zero Adapter.
func (a *Adapter) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*a = Adapter{}
		return nil
	}
	team, model, ok := strings.Cut(string(text), "/")
	if !ok {
		return errors.Wrapf(ErrBadName, "adapter %q has no team", text)
	}
	parsed, err := ParseModel(team, model)
	if err != nil {
		return err
	}
	*a = parsed
	return nil
}

// ParseModel returns the adapter for a model name of the form name@version, as a caller of
// the team gives it. It returns ErrBadName if the model or the team is invalid.
func ParseModel(team, model string) (Adapter, error) {
	name, version, ok := strings.Cut(model, "@")
	if !ok {
		return Adapter{}, errors.Wrapf(ErrBadName, "model %q names no version", model)
	}
	for _, s := range []string{team, name, version} {
		if err := CheckName(s); err != nil {
			return Adapter{}, errors.Wrapf(err, "model %q", model)
		}
	}
	return Adapter{Team: team, Name: name, Version: version}, nil
}

// Class ranks calls by the cost of delaying them.
type Class uint8

// The classes, in order of decreasing urgency.
const (
	Status Class = iota
	Standard
	Bulk
	// Classes is the number of classes, and not itself a class.
	Classes
)

var classNames = [Classes]string{"Status", "Standard", "Bulk"}

// String returns the class's name.
func (c Class) String() string {
	if c >= Classes {
		return "Unknown"
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	for i, n := range classNames {
		if n == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return errors.Wrapf(ErrBadClass, "%q", text)
}

// Call is one request of a caller, with its routing decisions.
type Call struct {
	// ID identifies the call in logs and across instances.
	ID string
	// Team is the authenticated team.
	Team string
	// Class is the call's class.
	Class Class
	// Adapter is the adapter and version that must answer the call; zero for a
	// call to a plain service.
	Adapter Adapter `json:",omitzero"`
	// Base is the base model of the adapter.
	Base string `json:",omitempty"`
	// WeightPath is the path of the adapter's version in the weight store.
	WeightPath string `json:",omitempty"`
	// Service is the plain service to call; empty for a model call.
	Service string `json:",omitempty"`
	// Method, Path and ContentType are those of the caller's request.
	Method      string
	Path        string
	ContentType string `json:",omitempty"`
	// Stream reports whether the caller requests server-sent events.
	Stream bool
	// Idempotent reports whether the call may safely be executed twice.
	Idempotent bool
	// Key is the caller's request key; empty when there is none.
	Key string `json:",omitempty"`
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Upstream is the upstream that was chosen for the call.
	Upstream string `json:",omitempty"`
	// Attempt identifies the attempt and is unique in the whole system.
	Attempt string `json:",omitempty"`
	// Alone reports whether no other call may run at the upstream at the same time,
	// because this call is suspected of crashing upstreams.
	Alone bool `json:",omitempty"`
	// Body is the request's body, which is transmitted separately from the other fields.
	Body []byte `json:"-"`
}

// Chunk is a part of an answer. An answer that is not streamed is a single chunk
// with Last set.
type Chunk struct {
	// Sequence counts the chunks of one answer from 1, without gaps.
	Sequence uint64
	// Status is the HTTP status of an answer that is not streamed.
	Status int
	// ContentType is the content type of an answer that is not streamed.
	ContentType string
	// Unframed is set for an answer that is not streamed if it ended with its connection, without a length or chunks: nothing
	// shows then that it is whole.
	Unframed bool
	// Data is the payload. It is valid only during the call of the Sink.
	Data []byte
	// Last marks the chunk that completes the answer.
	Last bool
}

// Sink receives the chunks of one answer in order. An error that it returns ends the
// answer.
type Sink func(Chunk) error
