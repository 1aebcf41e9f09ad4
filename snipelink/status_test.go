package snipelink_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
)

// TestStatus guards against an answer whose status is none of HTTP, such as 000 or 600, and against one that is taken for an
// interim answer, so that what follows it is read as the answer.
func TestStatus(t *testing.T) {
	tests := map[string]bool{ // whether it is an answer
		"000": false, "001": false, "020": false, "099": false, "+20": false, "-00": false, "20": false, "2000": false, "200x": false, "1e2": false,
		"600": false, "601": false, "999": false, "200": true, "204": true, "404": true, "500": true, "599": true,
	}
	for status, ok := range tests {
		t.Run(status, func(t *testing.T) {
			for _, after := range []string{"Content-Length: 2\r\n\r\nok", "\r\n" + goodAnswer, "\r\n"} {
				u := newUpstream(t, "HTTP/1.1 "+status+" X\r\nId: 1\r\n"+after)
				_, err := exchange(t, newPool(), u.address)
				if ok {
					must.NoError(t, err)
					continue
				}
				must.ErrorIs(t, err, snipelink.ErrBroken)
				must.Eq(t, 1, u.read.Load())
			}
		})
	}
}

// TestInterimStatus guards against an interim answer that is taken for the final one, or for none.
func TestInterimStatus(t *testing.T) {
	for _, status := range []string{"100", "101", "102", "103", "199"} {
		interim := "HTTP/1.1 " + status + " X\r\n\r\n"
		u := newUpstream(t, interim+goodAnswer)
		body, err := exchange(t, newPool(), u.address)
		must.NoError(t, err)
		must.Eq(t, "ok", body)
		u = newUpstream(t, strings.Repeat(interim, 5)+goodAnswer)
		_, err = exchange(t, newPool(), u.address)
		must.ErrorIs(t, err, snipelink.ErrBroken)
	}
}
