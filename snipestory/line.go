package snipestory

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// ErrLine is returned for a line that is not a log line of an instance.
var ErrLine = errors.New("not a log line of an instance")

// Line is a log line with the fields that a Story uses. Fields that are missing in the line are
// zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string
	Event    int
	Name     string
	Error    string

	// Fields of requests.
	Request string
	Route   string
	Service string
	Outcome string
	Status  int
	Adapter string
	Version int64
	// Tried holds the upstreams that the request was sent to, in order, and Ran is the number of
	// attempts that may have run it. After is the error after which the request was sent again.
	Tried []string
	Ran   int
	After string
	// NotSentAgain is why the request was not sent again after its last attempt; empty if it did not fail.
	NotSentAgain string
	// SoftwareTried holds the software versions of the upstreams in Tried. Resumes is the attempt that brought the
	// first event of the stream that the request resumes, LastEvent the last event that its caller had.
	SoftwareTried []string
	Resumes       string
	LastEvent     string
	// Busy is the estimated fraction of occupied slots at the last upstream when it was chosen. Holders is the number of usable upstreams that it was chosen from.
	Busy         float64
	Holders      int
	PromptTokens int
	// ExpectedMilliseconds is the time to the first event that was expected when the last upstream was
	// chosen, Pace the pace that it includes, and PaceAgeMilliseconds the age of the last stated one.
	// Pace is 0 if the upstreams of the service state none.
	ExpectedMilliseconds int64
	Pace                 float64
	PaceAgeMilliseconds  int64
	// DirectoryAge is the age of the directory of upstreams in milliseconds.
	DirectoryAge int64
	// Workspace is the workspace of the request according to version Catalog of the catalog. Asked
	// is the number of units that the request counts against the quota of the workspace.
	Workspace string
	Catalog   int64
	Asked     float64
	// TargetMilliseconds is the route's target for the time until the answer begins, and
	// PauseTargetMilliseconds its target for the longest pause in the answer.
	TargetMilliseconds      int64
	PauseTargetMilliseconds int64
	// WaitedMilliseconds is the time that the request waited for its adapter, FirstMilliseconds the
	// time from its arrival until the answer began, PauseMilliseconds the longest pause in the
	// answer, and Milliseconds the time from its arrival to its end. In the line of a load of an
	// adapter, Milliseconds is the duration of the load.
	WaitedMilliseconds int64
	// Fingerprint is the same for repeats of a request; empty if the request needed none. With Part it is that of
	// a part of its prompt.
	Fingerprint string
	Part        bool
	// Parts are the fingerprints of the parts of a prompt, in the line of a request that broke.
	Parts []string
	// PermitMilliseconds is the time that the request waited for permits, Coordinator the instance
	// that decided on the last one.
	PermitMilliseconds int64
	Coordinator        string
	FirstMilliseconds  int64
	PauseMilliseconds  int64
	Milliseconds       int64
	// Brittle is set if the service was brittle, and MaxRefusals the number of requests that its upstreams can
	// refuse in a second without a crash.
	Brittle     bool
	MaxRefusals int

	// Peer is the instance that the request was passed on to in its last attempt, From the one that passed it
	// on, in the line of the peer.
	Peer string
	From string

	// Fields of engines and upstreams.
	Engine   string
	Upstream string
	Action   string
	Reply    string
	// Queued is the time that a load of an adapter waited in the queue until it was started, in milliseconds.
	Queued int64

	// Raw is the unchanged text of the line.
	Raw string `json:"-"`
}

// Decode decodes one line. Its errors wrap ErrLine.
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

// arrival returns the time at which a request arrived, given the line of its end.
func (l Line) arrival() time.Time {
	return l.Time.Add(-time.Duration(l.Milliseconds) * time.Millisecond)
}

// target returns the engine or upstream that the line names, or an empty string if it names none.
func (l Line) target() string {
	if l.Engine != "" {
		return l.Engine
	}
	return l.Upstream
}
