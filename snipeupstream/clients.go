package snipeupstream

import (
	"net"
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipeanswer"
	"snipepitch.example/snipepitch/snipebound"
	"snipepitch.example/snipepitch/snipemeter"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnections = 1024
	idleTimeout     = time.Minute
)

// Dial opens a connection; see net.Dialer.DialContext.
type Dial = snipemeter.Dial

// DialTCP returns a Dial that opens TCP connections and fails after dialTimeout.
func DialTCP() Dial { return (&net.Dialer{Timeout: dialTimeout}).DialContext }

// NewPooled returns a client that reuses connections. Neither this client nor
// that of NewFresh follows redirects or uses a proxy: no answer makes them send
// a request a second time without a decision of this project.
func NewPooled(dial Dial) *http.Client { return newClient(transport(dial)) }

// NewFresh returns a client that opens a connection for each request and
// closes it afterwards. net/http repeats a request by itself only after a
// reused connection failed, and this client reuses none.
func NewFresh(dial Dial) *http.Client {
	t := transport(dial)
	t.DisableKeepAlives = true
	return newClient(t)
}

func transport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext:         remember(snipeanswer.Dial(dial)),
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: snipebound.HeaderBytes,
	}
}

func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     &snipeanswer.Transport{RoundTripper: t},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
