package snipebound_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebound"
)

// endless reads the same byte for ever.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// TestReadAll guards against a message that is cut off at its bound and passes for a whole one.
func TestReadAll(t *testing.T) {
	tests := map[string]struct {
		text string
		want error
	}{
		"Nothing": {"", nil},
		"Below":   {"abc", nil},
		"At":      {"abcd", nil},
		"Above":   {"abcde", snipebound.ErrTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(tt.text), iotest.OneByteReader(strings.NewReader(tt.text)), iotest.DataErrReader(strings.NewReader(tt.text))} {
				data, err := snipebound.ReadAll(r, 4)
				must.ErrorIs(t, err, tt.want)
				if tt.want == nil {
					must.EqOp(t, tt.text, string(data))
				}
			}
		})
	}
	e := &endless{}
	_, err := snipebound.ReadAll(e, 1000)
	must.ErrorIs(t, err, snipebound.ErrTooLarge)
	must.LessEq(t, 1001, e.read)
}

// TestTransport guards against an answer without an end to a request of a library that reads all of it.
func TestTransport(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			_, _ = io.WriteString(w, "short")
			return
		}
		_, _ = io.Copy(w, &endless{})
	}))
	defer s.Close()
	c := &http.Client{Transport: &snipebound.Transport{RoundTripper: http.DefaultTransport, Bound: 1 << 20}}
	for path, want := range map[string]error{"/short": nil, "/endless": snipebound.ErrTooLarge} {
		a, err := c.Get(s.URL + path)
		must.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		must.ErrorIs(t, err, want)
		must.NoError(t, a.Body.Close())
	}
}
