package snipelink_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
)

const (
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 4\r\n\r\nfull"
	copyOf     = "HTTP/1.1 503 Service Unavailable\r\nId: first\r\n"
	copied     = copyOf + "Content-Length: 4\r\n\r\nfull"
	copyChunks = copyOf + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
)

// TestCopiedRefusal guards against a request that is sent again on the connection on which it was refused: a copy of the
// refusal would be taken for the answer to the second attempt, which runs.
func TestCopiedRefusal(t *testing.T) {
	for name, status := range map[string]int{
		"Unavailable": http.StatusServiceUnavailable, "TooManyRequests": http.StatusTooManyRequests,
		"RequestTimeout": http.StatusRequestTimeout, "Misdirected": http.StatusMisdirectedRequest,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withStatus := func(reply string) string {
				return strings.ReplaceAll(reply, "503 Service Unavailable", strconv.Itoa(status)+" No")
			}
			u := newUpstream(t, withStatus(refusal), withStatus(copied)+goodAnswer)
			p := newPool()
			for range 2 {
				body, sent, err := exchangeAs(t, p, u.address, "first")
				must.NoError(t, err)
				must.Eq(t, "full", body)
				must.False(t, sent.Reused)
			}
			must.Eq(t, 2, u.accepted.Load())
			// The connections are kept for other requests.
			body, sent, err := exchangeAs(t, p, u.address, "next")
			must.NoError(t, err)
			must.Eq(t, "ok", body)
			must.Eq(t, snipelink.Sent{Reused: true, Skipped: 1}, sent)
		})
	}
}

// TestAnswersTooMany guards against a request that loses its answer because an answer to an earlier request precedes it, and
// against an answer that is skipped though it belongs to no earlier request, or though its end is not certain.
func TestAnswersTooMany(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
	tests := map[string]struct {
		method  string // of the first request
		extra   string // before the answer to the second request
		skipped int
		want    error
		reused  bool // whether a third request uses the same connection
	}{
		"Length":   {http.MethodGet, copied, 1, nil, true},
		"Chunks":   {http.MethodGet, copyChunks, 1, nil, true},
		"Empty":    {http.MethodGet, copyOf + "Content-Length: 0\r\n\r\n", 1, nil, true},
		"Two":      {http.MethodGet, copied + copyChunks, 2, nil, true},
		"Interim":  {http.MethodGet, copied + interim, 1, nil, true},
		"Success":  {http.MethodGet, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 2\r\n\r\nno", 1, nil, true},
		"Closing":  {http.MethodGet, copyOf + "Connection: close\r\nContent-Length: 0\r\n\r\n", 1, nil, false},
		"TooMany":  {http.MethodGet, copied + copied + copied + copied, 4, snipelink.ErrBroken, false},
		"Unframed": {http.MethodGet, copyOf + "\r\nfull", 0, snipelink.ErrForeign, false},
		"Cut":      {http.MethodGet, copyOf + "Content-Length: 900\r\n\r\nfull", 0, snipelink.ErrBroken, false},
		"Unknown":  {http.MethodGet, "HTTP/1.1 503 No\r\nId: other\r\nContent-Length: 0\r\n\r\n", 0, snipelink.ErrForeign, false},
		"NoID":     {http.MethodGet, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 0, snipelink.ErrForeign, false},
		"Head":     {http.MethodHead, copied, 0, snipelink.ErrForeign, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := refusal
			if tt.method == http.MethodHead {
				first = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 4\r\n\r\n"
			}
			replies := []string{first, tt.extra + goodAnswer}
			if tt.want == nil {
				replies = append(replies, goodAnswer)
			}
			u := newUpstream(t, replies...)
			p := newPool()
			r := newRequest(u.address)
			r.Method = tt.method
			r.Header.Set("Id", "first")
			a, _, err := p.Send(t.Context(), u.address, snipelink.Message{Request: r})
			must.NoError(t, err)
			_, _ = a.Read(make([]byte, 9))
			_, _ = a.Read(make([]byte, 9))
			a.Close()
			body, sent, err := exchangeAs(t, p, u.address, "next")
			must.True(t, sent.Reused)
			must.Eq(t, tt.skipped, sent.Skipped)
			if tt.want != nil {
				must.ErrorIs(t, err, tt.want)
				return
			}
			must.NoError(t, err)
			must.Eq(t, "ok", body)
			_, sent, _ = exchangeAs(t, p, u.address, "third")
			must.Eq(t, tt.reused, sent.Reused)
		})
	}
}

// TestConnectionCarriesSomeRequests guards against a connection whose memory of its requests grows without a bound, or that
// forgets a request while it is in use.
func TestConnectionCarriesSomeRequests(t *testing.T) {
	const requests = 300
	u := newUpstream(t, slices.Repeat([]string{goodAnswer}, requests)...)
	p := newPool()
	fresh := 0
	for n := range requests {
		_, sent, err := exchangeAs(t, p, u.address, strconv.Itoa(n+2))
		must.NoError(t, err)
		if !sent.Reused {
			fresh++
		}
	}
	must.Eq(t, 2, fresh)
}
