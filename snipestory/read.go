package snipestory

import (
	"bufio"
	"io"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
)

const (
	// maxLine bounds the length of a log line in bytes. Longer lines are skipped.
	maxLine = 1 << 20
	// maxChanges bounds the number of lines of changes that are kept. A line has about 500 bytes.
	maxChanges = 1_000_000
)

// Log collects the lines that can explain the outcome of one request.
type Log struct {
	id           string
	requestLines []Line
	changes      []Line
	// resumed holds the ends of the attempts that resume the stream of the request.
	resumed []Line
	// Skipped counts the lines that were skipped because they are invalid, too long, or beyond
	// maxChanges.
	Skipped int
}

// NewLog returns an empty log for the request with the given identifier.
func NewLog(id string) *Log { return &Log{id: id} }

// Read reads lines until r ends, and returns an error if r fails. It skips lines that are too long
// or not log lines of an instance, since other programs may write to the same file, and counts them
// in Skipped. Empty lines are not counted.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewReaderSize(r, maxLine)
	for {
		raw, long, err := lines.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		if long {
			l.Skipped++
			if err := skipLine(lines); err != nil {
				return err
			}
			continue
		}
		l.add(raw)
	}
}

// skipLine skips the rest of a line that is too long.
func skipLine(lines *bufio.Reader) error {
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

// add keeps a line if it belongs to the request or to none, and counts a line that it cannot keep.
// Empty lines and lines of other requests are ignored.
func (l *Log) add(raw []byte) {
	if len(raw) == 0 {
		return
	}
	line, err := Decode(raw)
	switch {
	case err != nil:
		l.Skipped++
	case line.Request == l.id:
		l.requestLines = append(l.requestLines, line)
	case line.Resumes == l.id && isEnd(line.Event):
		l.resumed = append(l.resumed, line)
	case line.Request != "":
		// The line belongs to another request.
	case len(l.changes) < maxChanges:
		l.changes = append(l.changes, line)
	default:
		l.Skipped++
	}
}

// isEnd reports whether an event reports the end of a request.
func isEnd(event int) bool {
	switch event {
	case snipelog.RequestEnded.Number, snipelog.RequestRefused.Number,
		snipelog.RequestFailed.Number, snipelog.RequestAbandoned.Number:
		return true
	default:
		return false
	}
}
