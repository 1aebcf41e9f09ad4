package snipeentry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStopAnswersPeers answers the pattern of planned stops while the store answers nobody: as
// long as an instance serves its last requests the others can ask it to leave them their engines;
// else they take it for one that lives and says no.
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
	time.Sleep(4 * time.Second) // past the notice to the balancer
	c, err := net.DialTimeout("tcp", one.Settings.Peers.String(), time.Second)
	must.NoError(t, err)
	must.NoError(t, c.Close())
	a := <-answered
	must.NoError(t, a.err)
	must.Eq(t, events(1), a.body)
	must.NoError(t, <-one.ended)
}
