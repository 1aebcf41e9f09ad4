package snipestop_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestop"
)

// TestInterrupted guards against a request whose caller is taken for one that has left, and gets no answer, because a stop
// interrupts the read of its body when all of the body has been read, before EndBody.
func TestInterrupted(t *testing.T) {
	const settle = 50 * time.Millisecond // until net/http has noticed the deadline
	for name, stopping := range map[string]bool{"NoStop": false, "Stop": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s snipestop.Stop
			type seen struct {
				read               error
				ended, interrupted bool
			}
			got := make(chan seen, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				watch := &snipestop.Watch{Cancel: func(error) {}}
				s.Enter(watch)
				defer s.Leave(watch)
				watch.BeginBody(http.NewResponseController(w), time.Now().Add(time.Minute))
				_, err := io.ReadAll(r.Body)
				if stopping {
					s.Begin(time.Now())
					s.Run(context.Background())
				}
				time.Sleep(settle)
				watch.EndBody(true)
				got <- seen{err, r.Context().Err() != nil, watch.Interrupted()}
			}))
			defer server.Close()
			a, err := http.Post(server.URL, "text/plain", strings.NewReader("text"))
			must.NoError(t, err)
			must.NoError(t, a.Body.Close())
			must.Eq(t, seen{nil, stopping, stopping}, <-got)
		})
	}
}
