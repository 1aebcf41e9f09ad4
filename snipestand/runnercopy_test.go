package snipestand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAnswerCopies guards against a stand-in whose answers too many do not reach its callers, so that tests with them show nothing.
func TestAnswerCopies(t *testing.T) {
	tests := map[string]struct {
		copies AnswerCopies
		fault  RunnerFault
		want   []string // identifiers and statuses of the answers to two requests
	}{
		"None":     {AnswerCopies{}, RunnerRefuses, []string{"1 503", "2 200"}},
		"Refusal":  {AnswerCopies{Statuses: []int{503}}, RunnerRefuses, []string{"1 503", "1 503", "2 200"}},
		"InPieces": {AnswerCopies{Statuses: []int{503}, InPieces: true}, RunnerRefuses, []string{"1 503", "1 503", "2 200"}},
		"Success":  {AnswerCopies{Statuses: []int{200}}, RunnerNoFault, []string{"1 200", "1 200", "2 200"}},
		"Other":    {AnswerCopies{Statuses: []int{421}}, RunnerRefuses, []string{"1 503", "2 200"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Runner{ID: "p1", Faults: &RunnerFaults{}}
			server := httptest.NewUnstartedServer(r.Handler())
			server.Config.ConnContext = ConnContext
			server.Start()
			defer server.Close()
			r.SetCopies(tt.copies)
			r.Faults.Set(tt.fault, 1)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			got := []string{}
			for id := 1; id <= 2; id++ {
				_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nX-Snipepitch-Attempt-Id: %d\r\nContent-Length: 0\r\n\r\n", id)
				must.NoError(t, err)
				for last := ""; last != fmt.Sprint(id); {
					answer, err := http.ReadResponse(reader, nil)
					must.NoError(t, err)
					body, err := io.ReadAll(answer.Body)
					must.NoError(t, err)
					must.Eq(t, answer.StatusCode == http.StatusOK, string(body) == "POST /x ")
					last = answer.Header.Get("X-Snipepitch-Attempt-Id")
					got = append(got, fmt.Sprint(last, " ", answer.StatusCode))
				}
			}
			must.Eq(t, tt.want, got)
		})
	}
}
