package snipelog_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipelog"
)

// stuck is a log whose reader has stopped.
type stuck struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStuckReader: a log that nobody reads holds up neither calls nor the end.
func TestStuckReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stuck{make(chan struct{})}
		b := snipelog.NewBuffer(s)
		stop := b.Start()
		l := snipelog.New(b, logrus.InfoLevel, "one")
		start := time.Now()
		for range 10000 {
			l.Log(snipelog.Started, nil)
		}
		must.Eq(t, 0, time.Since(start))
		must.Greater(t, 0, b.Dropped())
		stop()
		must.Eq(t, time.Second, time.Since(start))
		close(s.release)
	})
}

// TestStopWritesAll: the last lines before the end are written.
func TestStopWritesAll(t *testing.T) {
	var out bytes.Buffer
	b := snipelog.NewBuffer(&out)
	stop := b.Start()
	l := snipelog.New(b, logrus.InfoLevel, "one")
	for range 1000 {
		l.Log(snipelog.Stopped, nil)
	}
	stop()
	must.Eq(t, 1000, bytes.Count(out.Bytes(), []byte{'\n'}))
	must.Eq(t, 0, b.Dropped())
}
