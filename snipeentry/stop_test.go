package snipeentry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStopAnswersPeers covers planned stops while the store answers no instance. Until its last
// requests have ended, a stopping instance must answer requests for lease extensions, since the
// other instances take a missing answer for a refusal.
func TestStopAnswersPeers(t *testing.T) {
	s := newTestCluster(t, time.Second)
	one := s.start("one")
	s.declare(1)
	waitServing(t, one)
	answered := make(chan reply, 1)
	go func() {
		a, _ := send(t, one.url, http.MethodPost, "/final/x", "", modelHeader, "base")
		answered <- a
	}()
	time.Sleep(200 * time.Millisecond)
	one.Stop()
	time.Sleep(4 * time.Second) // longer than stopAcceptTime
	c, err := net.DialTimeout("tcp", one.Settings.Peers.String(), time.Second)
	must.NoError(t, err)
	must.NoError(t, c.Close())
	a := <-answered
	must.NoError(t, a.err)
	must.Eq(t, events(1), a.body)
	must.NoError(t, <-one.ended)
}
