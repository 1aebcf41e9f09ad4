package snipestory

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// ErrLine says that a line is no log line of an instance.
var ErrLine = errors.New("no log line of an instance")

// Line is one log line, with the fields that stories are told from. A field that the
// line does not have is zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string
	Event    int
	Name     string
	Error    string

	// Of requests.
	Request      string
	Route        string
	Service      string
	Outcome      string
	Status       int
	Adapter      string
	Version      int64
	Tried        []string
	Ran          int
	After        string
	Busy         float64
	Holders      int
	PromptTokens int
	DirectoryAge int64
	// Workspace is whose the request is by the catalog of version Catalog, Asked what it counts
	// against its quota.
	Workspace string
	Catalog   int64
	Asked     float64
	// TargetMilliseconds is the objective of the route until the answer begins, and
	// PauseTargetMilliseconds the longest pause in an answer that is on time.
	TargetMilliseconds      int64
	PauseTargetMilliseconds int64
	WaitedMilliseconds      int64
	FirstMilliseconds       int64
	PauseMilliseconds       int64
	Milliseconds            int64

	// Of engines and upstreams.
	Engine   string
	Upstream string
	Action   string
	Reply    string
	Queued   int64

	// Raw is the line as it was read.
	Raw string `json:"-"`
}

// Decode reads one line. Its error wraps ErrLine.
func Decode(raw []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		return Line{}, errors.Wrapf(ErrLine, "%v", err)
	}
	if l.Event == 0 || l.Time.IsZero() {
		return Line{}, errors.Wrap(ErrLine, "no event or no time")
	}
	l.Raw = string(raw)
	return l, nil
}

// begun is when the request of an end line arrived.
func (l Line) begun() time.Time {
	return l.Time.Add(-time.Duration(l.Milliseconds) * time.Millisecond)
}

// target is the upstream or engine that the line is about; empty for none.
func (l Line) target() string {
	if l.Engine != "" {
		return l.Engine
	}
	return l.Upstream
}
