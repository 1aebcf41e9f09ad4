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

// blockedWriter is a log whose reader has stopped until release is closed.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedLogReader guards against a log whose reader has stopped blocking calls or the end of
// the process.
func TestBlockedLogReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := blockedWriter{make(chan struct{})}
		b := snipelog.NewBuffer(w)
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
		close(w.release)
	})
}

// TestStopWritesAll guards against losing the last lines before the process ends.
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
