// Package snipetrace is the recorded trace: its format, its generation from a
// seed, and the check of one answer against the trace's stated outcome.
//
// A trace is a file of JSON documents, one a line, each a Record. The format
// is documented in docs/trace.md.
package snipetrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

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
	// Service makes a call to a plain service, with Prompt as the body. Such
	// calls are not idempotent and carry Key.
	Service string `json:",omitempty"`
	Key     string `json:",omitempty"`
	// Timeout is the caller's deadline.
	Timeout snipejson.Duration
	// Path is the stated outcome of a model call: where the weight store keeps
	// the adapter that must answer. Empty when Code is set.
	Path string `json:",omitempty"`
	// Code is the stated outcome of a call that must be refused.
	Code string `json:",omitempty"`
}

// Check returns ErrBadRecord and the reason unless r is valid.
func (r Record) Check() error {
	switch {
	case r.Team == "":
		return errors.Wrap(ErrBadRecord, "no team")
	case (r.Model == "") == (r.Service == ""):
		return errors.Wrap(ErrBadRecord, "needs either Model or Service")
	case r.Model != "" && (r.Path == "") == (r.Code == ""):
		return errors.Wrap(ErrBadRecord, "needs either Path or Code")
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
	for n := 1; s.Scan(); n++ {
		var record Record
		if err := snipejson.Decode(s.Bytes(), &record); err != nil {
			return nil, errors.Wrapf(ErrBadRecord, "line %d: %v", n, err)
		}
		if err := record.Check(); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
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

// Shape says what trace to generate.
type Shape struct {
	// Seed makes the trace.
	Seed uint64
	// Calls is how many calls, over Length.
	Calls  int
	Length time.Duration
	// Teams are the callers' teams; each has Adapters adapters named
	// adapter-N with the version 1 at the path TEAM/adapter-N/1.
	Teams    []string
	Adapters int
	// Service is a plain service that a part of the calls go to.
	Service string
	// Timeout is the deadline of each call.
	Timeout time.Duration
}

const (
	zipfExponent   = 1.2
	serviceShare   = 0.15
	unknownShare   = 0.02
	streamShare    = 0.6
	shortestAnswer = 4
	longestAnswer  = 48
)

// Generate makes a trace with Zipf-like popularity.
func Generate(s Shape) []Record {
	// The seed makes the trace repeatable; nothing here is secret.
	r := rand.New(rand.NewPCG(s.Seed, s.Seed)) //nolint:gosec // see above
	z := rand.NewZipf(r, zipfExponent, 1, uint64(max(s.Adapters-1, 0)))
	all := make([]Record, 0, s.Calls)
	for n := range s.Calls {
		at := time.Duration(int64(s.Length) / int64(s.Calls) * int64(n))
		all = append(all, s.record(r, z, n, at))
	}
	return all
}

func (s Shape) record(r *rand.Rand, z *rand.Zipf, n int, at time.Duration) Record {
	c := Record{
		At: snipejson.Duration(at), Team: s.Teams[r.IntN(len(s.Teams))],
		Class:   snipecall.Class(r.IntN(int(snipecall.Classes))), //nolint:gosec // below Classes
		Prompt:  fmt.Sprintf("call %d of seed %d", n, s.Seed),
		Timeout: snipejson.Duration(s.Timeout),
	}
	adapter := z.Uint64()
	switch p := r.Float64(); {
	case p < serviceShare && s.Service != "":
		c.Service = s.Service
		c.Key = fmt.Sprintf("key-%d-%d", s.Seed, n)
	case p < serviceShare+unknownShare:
		c.Model, c.Code = "no-such-adapter@1", "UnknownAdapter"
	default:
		c.Model = fmt.Sprintf("adapter-%d@1", adapter)
		c.Path = fmt.Sprintf("%s/adapter-%d/1", c.Team, adapter)
		c.MaxTokens = shortestAnswer + r.IntN(longestAnswer-shortestAnswer)
		c.Stream = r.Float64() < streamShare
	}
	return c
}
