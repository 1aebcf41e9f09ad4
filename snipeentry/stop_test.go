package snipeentry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStopAnswersPeers guards against a stopping instance that closes its listener for other
// instances while a caller's request is still in flight: it checks that the listener accepts a
// connection then, and that the request completes. Other instances may need this instance's grant
// for a lease extension, and take a missing answer for a refusal.
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
