// Package snipetrace is the recorded trace: its format and its generation from
// a seed.
//
// A trace is a file of JSON documents, one a line, each a Record: one call
// with its stated outcome. The format is documented in docs/trace.md. The same
// Shape makes the same trace on every machine.
package snipetrace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipejson"
)

// ErrBadRecord is returned for a line that is no valid record.
var ErrBadRecord = errors.New("bad trace record")

// maxLine bounds one line of a trace in bytes.
const maxLine = 1 << 20

// Record is one call of a trace with its stated outcome.
type Record struct {
	// At is when the call starts, from the start of the replay.
	At snipejson.Duration
	// Team and Class are those of the caller.
	Team  string
	Class snipecall.Class
	// Model, Prompt, MaxTokens and Stream make a model call.
	Model     string `json:",omitempty"`
	Prompt    string `json:",omitempty"`
	MaxTokens int    `json:",omitempty"`
	Stream    bool   `json:",omitempty"`
	// Service makes a call to a plain service, with Prompt as the body, which
	// no other record may have. It may be executed at most once unless
	// Idempotent is set.
	Service    string `json:",omitempty"`
	Idempotent bool   `json:",omitempty"`
	// Key is the request key. Without one a call that is not idempotent is
	// never repeated once it may have run.
	Key string `json:",omitempty"`
	// Timeout is the caller's deadline.
	Timeout snipejson.Duration
	// Path is the stated outcome of a model call: where the weight store keeps
	// the adapter that must answer. Empty when Code is set.
	Path string `json:",omitempty"`
	// Crashes tells that the prompt crashes the engine that runs it: the call
	// may crash MaxCrashes engines, however often it is sent, and is never
	// answered.
	Crashes bool `json:",omitempty"`
	// Code is the stated outcome of a call that must be refused, as not run.
	Code string `json:",omitempty"`
}

// MaxCrashes is how many engines one call may crash.
const MaxCrashes = 2

// Repeatable reports whether executing the call twice does no harm.
func (r Record) Repeatable() bool { return r.Service == "" || r.Idempotent }

// Check returns ErrBadRecord and the reason unless r is valid.
func (r Record) Check() error {
	switch {
	case r.Team == "":
		return errors.Wrap(ErrBadRecord, "no team")
	case (r.Model == "") == (r.Service == ""):
		return errors.Wrap(ErrBadRecord, "needs either Model or Service")
	case r.Model != "" && (r.Path == "") == (r.Code == ""):
		return errors.Wrap(ErrBadRecord, "needs either Path or Code")
	case r.Model != "" && (r.Key != "" || r.Idempotent):
		return errors.Wrap(ErrBadRecord, "Key and Idempotent are of service calls")
	case r.Crashes && r.Path == "":
		return errors.Wrap(ErrBadRecord, "Crashes is of model calls with Path")
	case r.At < 0 || r.Timeout <= 0:
		return errors.Wrap(ErrBadRecord, "At or Timeout out of range")
	}
	return nil
}

// Read reads a whole trace.
func Read(r io.Reader) ([]Record, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var all []Record
	bodies := map[string]bool{}
	for n := 1; s.Scan(); n++ {
		var record Record
		if err := snipejson.Decode(s.Bytes(), &record); err != nil {
			return nil, errors.Wrapf(ErrBadRecord, "line %d: %v", n, err)
		}
		if err := record.Check(); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		if record.Service != "" && bodies[record.Prompt] {
			return nil, errors.Wrapf(ErrBadRecord, "line %d: same Prompt as an earlier service call", n)
		}
		bodies[record.Prompt] = bodies[record.Prompt] || record.Service != ""
		all = append(all, record)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	return all, nil
}

// Write writes a whole trace.
func Write(w io.Writer, records []Record) error {
	e := json.NewEncoder(w)
	for _, r := range records {
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
