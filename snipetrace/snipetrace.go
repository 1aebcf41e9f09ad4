// Package snipetrace defines the format of traces of calls, and generates traces from a seed.
//
// A trace is a file with one JSON document per line. Each document is a Record: a call and its
// expected outcome. The format is documented in docs/trace.md. The same Shape yields the same trace
// on every machine.
package snipetrace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipejson"
)

// ErrBadRecord is returned for a record that is invalid.
var ErrBadRecord = errors.New("bad trace record")

// maxLine bounds the length of a line of a trace in bytes.
const maxLine = 1 << 20

// Record is one call of a trace with its expected outcome.
type Record struct {
	// At is the time between the start of the replay and the start of the call.
	At snipejson.Duration
	// Team is the team of the caller, and Class the class of the call.
	Team  string
	Class snipecall.Class
	// Model, Prompt, MaxTokens and Stream are the fields of a model call.
	Model     string `json:",omitempty"`
	Prompt    string `json:",omitempty"`
	MaxTokens int    `json:",omitempty"`
	Stream    bool   `json:",omitempty"`
	// Service is the plain service that a service call goes to. Prompt is its body, which must
	// differ from the bodies of all other service calls of the trace. The call may be executed at
	// most once unless Idempotent is set.
	Service    string `json:",omitempty"`
	Idempotent bool   `json:",omitempty"`
	// Key is the request key. A call that has none and is not idempotent is never repeated once it
	// may have run.
	Key string `json:",omitempty"`
	// Timeout is the time from the start of the call to the caller's deadline.
	Timeout snipejson.Duration
	// Path is the expected outcome of a model call: the path in the weight store of the adapter
	// that must answer. It is empty if Code is set.
	Path string `json:",omitempty"`
	// Crashes is set if the prompt crashes the engine that runs it. The call may crash at most
	// MaxCrashes engines, however often it is sent, and is never answered.
	Crashes bool `json:",omitempty"`
	// Code is the expected outcome of a call that must be refused without being run: the error
	// code.
	Code string `json:",omitempty"`
}

// MaxCrashes is the largest number of engines that one call may crash.
const MaxCrashes = 2

// Repeatable reports whether the call may be executed more than once.
func (r Record) Repeatable() bool { return r.Service == "" || r.Idempotent }

// Check returns an error that wraps ErrBadRecord and states the reason if r is invalid.
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

// Read reads a whole trace. It returns an error that wraps ErrBadRecord and states the number of the
// line if a line is invalid, or repeats the body of an earlier service call.
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
