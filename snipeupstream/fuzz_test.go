package snipeupstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecall"
)

// roundTrip is an http.RoundTripper that answers requests without a network.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// FuzzAnswer checks that, whatever an engine sends, the chunks passed on are a
// prefix of one answer, in order and of the requested adapter, and that the
// answer is complete if and only if no error is returned.
func FuzzAnswer(f *testing.F) {
	whole := ""
	for n := 1; n <= 4; n++ {
		whole += "id: " + string(rune('0'+n)) + "\ndata: " + chunk(n, testAlias) + "\n\n"
	}
	whole += "id: 5\ndata: [DONE]\n\n"
	for _, seed := range []string{
		whole, strings.Replace(whole, testAlias, otherAlias, 1), strings.Replace(whole, "id: 2", "id: 3", 1),
		strings.Replace(whole, "a-1", "a-2", 1), strings.Replace(whole, "[DONE]", "{}", 1), strings.Replace(whole, "[{", "[[", 2),
		"id: 1\ndata: " + strings.Repeat("[", 100000) + "\n\n",
		`id: 1` + "\n" + `data: {"id":"a","model":"` + testAlias + `","choices":7}` + "\n\nid: 2\ndata: [DONE]\n\n",
		`id: 1` + "\n" + `data: {"id":"a","model":"` + testAlias + `","choices":[{"finish_reason":"x","delta":{"tool_calls":[1,{"index":{}},{"index":{}}]}}]}` + "\n\nid: 2\ndata: [DONE]\n\n",
		`id: 1` + "\n" + `data: {"id":"a","model":"` + testAlias + `","model":"x","choices":[{"finish_reason":"x"}]}` + "\n\nid: 2\ndata: [DONE]\n\n",
	} {
		f.Add([]byte(seed), true, false)
		f.Add([]byte(seed), false, true)
	}
	f.Fuzz(func(t *testing.T, stream []byte, streamed, chat bool) {
		client := &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			body := io.NopCloser(strings.NewReader(string(stream)))
			return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
		})}
		e := &Engine{Name: "engine-1", Address: engineAddress, Pooled: client, Fresh: client, Progress: time.Minute}
		c := modelCall()
		c.Stream = streamed
		if chat {
			c.Path = ChatPath
		}
		var next uint64
		last := false
		err := e.Call(context.Background(), c, testAlias, func(k snipecall.Chunk) error {
			next++
			must.Eq(t, next, k.Sequence)
			must.False(t, last)
			last = k.Last
			if string(k.Data) != "[DONE]" {
				must.True(t, json.Valid(k.Data))
				must.Eq(t, "plume@2", gjson.GetBytes(k.Data, "model").String())
				must.Eq(t, `"plume@2"`, decodedModel(k.Data))
			}
			return nil
		})
		must.Eq(t, err == nil, last)
	})
}

// decodedModel returns the model that a decoder finds which uses the last of
// several fields of the same name.
func decodedModel(data []byte) string {
	var v map[string]json.RawMessage
	if json.Unmarshal(data, &v) != nil {
		return "#"
	}
	return string(v["model"])
}

// FuzzRequestBody checks that, whatever a caller sends, the engine receives one
// JSON object in which every field that a decoder may accept as "model" holds the
// alias.
func FuzzRequestBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"plume@2"}`, `{}`, `[]`, `{"MODEL":"x","mod\u0065l":"y"}`, `{"a":{"model":"x"}}`, `{"model":1,"priority":2,"stream":{}}`, `{"a":1}{"model":"x"}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, stream bool) {
		c := modelCall()
		c.Body, c.Stream = body, stream
		out, err := requestBody(c, testAlias)
		if err != nil {
			must.ErrorIs(t, err, ErrBody)
			return
		}
		var v map[string]json.RawMessage
		must.NoError(t, json.Unmarshal(out, &v))
		for name, value := range v {
			if strings.EqualFold(name, "model") {
				must.Eq(t, `"`+testAlias+`"`, string(value))
			}
		}
	})
}
