// Package snipecall holds the messages that the duties of an instance pass to
// each other: the call of a caller, the chunks of its answer, and the names
// both are made of.
//
// A Call is immutable once its caller has been admitted. Whoever needs another
// one (a retry at another upstream) makes a copy.
package snipecall

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxName bounds the length of a team, adapter, version or service name.
const maxName = 128

// ErrBadName is returned for a name that is empty, too long or has bytes
// outside letters, digits, '.', '_' and '-'.
var ErrBadName = errors.New("bad name")

// ErrBadClass is returned for a class that does not exist.
var ErrBadClass = errors.New("unknown class")

// CheckName returns ErrBadName unless name is a valid name.
func CheckName(name string) error {
	if name == "" || len(name) > maxName {
		return errors.Wrapf(ErrBadName, "%d bytes", len(name))
	}
	for i := range len(name) {
		if !nameByte(name[i]) {
			return errors.Wrapf(ErrBadName, "%q", name)
		}
	}
	return nil
}

func nameByte(b byte) bool {
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

// String returns team/name@version.
func (a Adapter) String() string { return a.Team + "/" + a.Name + "@" + a.Version }

// Model returns name@version, the model name that the team's callers use.
func (a Adapter) Model() string { return a.Name + "@" + a.Version }

// IsZero reports whether a names nothing.
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

// ParseModel splits the model name name@version of a team's caller.
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

// Class orders calls by how much a wait costs.
type Class uint8

// The classes, the most urgent first.
const (
	Status Class = iota
	Standard
	Bulk
	// Classes is the number of classes.
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

// Call is one request of a caller.
type Call struct {
	// ID identifies the call in logs and across instances.
	ID string
	// Team is the authenticated team.
	Team string
	// Class is the call's class.
	Class Class
	// Adapter is the adapter and version that must answer; zero for a call to
	// a plain service.
	Adapter Adapter `json:",omitzero"`
	// Base is the base model of the adapter.
	Base string `json:",omitempty"`
	// WeightPath is where the weight store keeps the adapter's version.
	WeightPath string `json:",omitempty"`
	// Service is the plain service to call; empty for a model call.
	Service string `json:",omitempty"`
	// Method, Path and ContentType are those of the caller's request.
	Method      string
	Path        string
	ContentType string `json:",omitempty"`
	// Stream tells that the caller wants server-sent events.
	Stream bool
	// Idempotent tells that executing the call twice does no harm.
	Idempotent bool
	// Key is the caller's request key; empty when there is none.
	Key string `json:",omitempty"`
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Upstream is the chosen upstream.
	Upstream string `json:",omitempty"`
	// Attempt identifies the attempt, unique in the system.
	Attempt string `json:",omitempty"`
	// Alone tells that nothing else may run at the upstream meanwhile, since
	// the call is suspected of crashing upstreams.
	Alone bool `json:",omitempty"`
	// Body is the request's body; it travels beside the other fields.
	Body []byte `json:"-"`
}

// Chunk is a part of an answer. A whole answer that is not streamed is a
// single chunk with Last set.
type Chunk struct {
	// Sequence counts the chunks of one answer from 1, without gaps.
	Sequence uint64
	// Status is the HTTP status of an answer that is not streamed.
	Status int
	// ContentType is that of an answer that is not streamed.
	ContentType string
	// Data is the payload; valid only during the call of the Sink.
	Data []byte
	// Last marks the chunk that makes the answer complete.
	Last bool
}

// Sink takes the chunks of one answer in order. An error ends the answer.
type Sink func(Chunk) error
