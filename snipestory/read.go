package snipestory

import (
	"bufio"
	"io"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
)

const (
	// longestLine bounds one log line in bytes; longer ones are passed over.
	longestLine = 1 << 20
	// maxChanges bounds the lines of changes that are kept: some 500 bytes each.
	maxChanges = 1_000_000
)

// Log collects the lines that may concern one request.
type Log struct {
	id      string
	own     []Line
	changes []Line
	// Unread counts the lines that could not be read or kept.
	Unread int
}

// NewLog returns a log that collects for one request.
func NewLog(id string) *Log { return &Log{id: id} }

// Read reads lines until r ends. Lines that are none of an instance are counted and
// passed over: what else writes to the same file is no reason to stop.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewReaderSize(r, longestLine)
	for {
		raw, long, err := lines.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		if long {
			l.Unread++
			if err := skip(lines); err != nil {
				return err
			}
			continue
		}
		l.take(raw)
	}
}

// skip passes over the rest of a line that is too long.
func skip(lines *bufio.Reader) error {
	for {
		_, long, err := lines.ReadLine()
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read log")
		}
		if err != nil || !long {
			return nil
		}
	}
}

func (l *Log) take(raw []byte) {
	if len(raw) == 0 {
		return
	}
	line, err := Decode(raw)
	switch {
	case err != nil:
		l.Unread++
	case line.Request == l.id:
		l.own = append(l.own, line)
	case line.Request != "":
		// Of another request.
	case len(l.changes) < maxChanges:
		l.changes = append(l.changes, line)
	default:
		l.Unread++
	}
}

// isEnd reports whether an event is the end of a request.
func isEnd(event int) bool {
	switch event {
	case snipelog.RequestEnded.Number, snipelog.RequestRefused.Number,
		snipelog.RequestFailed.Number, snipelog.RequestAbandoned.Number:
		return true
	default:
		return false
	}
}
