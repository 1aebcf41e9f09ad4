// Package snipelog writes structured log lines with numbered events.
//
// An event's number never changes and is never given to another event, so that
// operators can alert on it. docs/operators/events.md is the catalogue; a test
// holds it against the list below.
package snipelog

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one numbered kind of log line.
type Event struct {
	// Number identifies the event for good.
	Number int
	// Name is the event's short name, in Pascal case.
	Name string
	// Level is the level at which the event is written.
	Level logrus.Level
}

// Fields are the structured values of one line. Keys of teams or operators,
// prompts and answers are never among them.
type Fields = logrus.Fields

// Logger writes events. Its methods are safe for concurrent use.
type Logger struct {
	entry *logrus.Entry
}

// timeFormat is that of RFC 3339 with milliseconds: what follows each other on several
// instances lies a few milliseconds apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level logrus.Level, instance string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Logger{entry: l.WithField("Instance", instance)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, logrus.PanicLevel, "") }

// Log writes one line for e.
func (l *Logger) Log(e Event, f Fields) {
	l.entry.WithFields(f).WithField("Event", e.Number).WithField("Name", e.Name).Log(e.Level)
}

// Error writes one line for e with the error's text.
func (l *Logger) Error(e Event, err error, f Fields) {
	l.entry.WithFields(f).WithField("Error", err.Error()).
		WithField("Event", e.Number).WithField("Name", e.Name).Log(e.Level)
}

var (
	catalogueLock sync.Mutex // guards catalogue
	catalogue     []Event
)

func define(number int, name string, level logrus.Level) Event {
	catalogueLock.Lock()
	defer catalogueLock.Unlock()
	e := Event{Number: number, Name: name, Level: level}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their definition.
func Catalogue() []Event {
	catalogueLock.Lock()
	defer catalogueLock.Unlock()
	return append([]Event(nil), catalogue...)
}
