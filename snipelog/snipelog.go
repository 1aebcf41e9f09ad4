// Package snipelog writes structured log lines for numbered events.
//
// The number of an event never changes and is never reused for another event, so that operators can
// use it in alerts. The page docs/operators/events.md lists all events; a test compares it with the
// events that this package defines.
package snipelog

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is a numbered kind of log line.
type Event struct {
	// Number identifies the event and never changes.
	Number int
	// Name is the short name of the event, in Pascal case.
	Name string
	// Level is the level at which the event is written.
	Level logrus.Level
}

// Fields are the structured values of one log line. They must not contain keys of teams or
// operators, prompts or answers.
type Fields = logrus.Fields

// Logger writes log lines for events. Its methods are safe for concurrent use.
type Logger struct {
	entry *logrus.Entry
}

// timeFormat is the RFC 3339 format with milliseconds, because successive events on several
// instances are only a few milliseconds apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes JSON lines of the given level and of more severe ones to w.
// Every line has the name of the instance.
func New(w io.Writer, level logrus.Level, instance string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Logger{entry: l.WithField("Instance", instance)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, logrus.PanicLevel, "") }

// Log writes one line for the event e.
func (l *Logger) Log(e Event, f Fields) {
	l.entry.WithFields(f).WithField("Event", e.Number).WithField("Name", e.Name).Log(e.Level)
}

// Error writes one line for the event e with the text of err.
func (l *Logger) Error(e Event, err error, f Fields) {
	l.entry.WithFields(f).WithField("Error", err.Error()).
		WithField("Event", e.Number).WithField("Name", e.Name).Log(e.Level)
}

var (
	catalogueLock sync.Mutex // guards catalogue
	catalogue     []Event
)

// define adds an event to the catalogue.
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
