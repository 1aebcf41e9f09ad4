package snipepeer

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
)

// FuzzDecodeCall checks that, whatever a peer sends, an accepted call has a known
// class, an upstream, a method, a path, an adapter of its own team or none, and a time left
// within maxTimeLeft; every refusal wraps ErrBadCall.
func FuzzDecodeCall(f *testing.F) {
	good := `{"ID":"c","Team":"ash","Class":"Bulk","Adapter":"ash/plume@2","Upstream":"engine-1","Method":"POST","Path":"/v1/completions"}`
	f.Add(good, "1000")
	for _, seed := range []string{
		`{}`, `null`, `[`, `{"Class":"Urgent","Upstream":"e"}`, `{"Upstream":"e","Class":3}`, `{"Upstream":"e","Adapter":"x"}`,
		`{"Upstream":"e","Deadline":"2026-01-01T00:00:00Z"}`, `{"Team":"a","Adapter":"b/c@1","Upstream":"e","Method":"POST","Path":"/v1/completions"}`,
	} {
		f.Add(seed, "-5")
	}
	f.Add(good, "9223372036854775807")
	f.Fuzz(func(t *testing.T, fields, wait string) {
		h := http.Header{}
		h.Set(callHeader, fields)
		h.Set(waitHeader, wait)
		c, timeLeft, err := DecodeCall(h)
		if err != nil {
			must.ErrorIs(t, err, ErrBadCall)
			return
		}
		must.True(t, c.Class < snipecall.Classes)
		must.True(t, c.Upstream != "" && c.Method != "" && c.Path != "")
		must.True(t, c.Adapter.IsZero() || c.Adapter.Team == c.Team)
		must.True(t, timeLeft >= -maxTimeLeft && timeLeft <= maxTimeLeft)
		must.True(t, time.Now().Add(timeLeft).After(time.Time{}))
	})
}

// FuzzHop checks that, whatever a peer answers, the chunks passed on are in order
// and nothing follows the last one.
func FuzzHop(f *testing.F) {
	for _, seed := range []string{
		"id: 1\nevent: Chunk\ndata: {}\n\nevent: Beat\ndata: {}\n\nid: 2\nevent: Last\ndata: [DONE]\n\nid: 3\nevent: Chunk\ndata: x\n\n",
		"id: 1\nevent: Whole\ndata: {\"Status\":200,\"ContentType\":\"x\",\"Data\":\"eA==\"}\n\n", "id: 1\nevent: Whole\ndata: {\"Data\":7}\n\n",
		"id: 1\nevent: Chunk\ndata: a\n\nid: 2\nevent: Whole\ndata: {\"Status\":200}\n\n", "id: 1\nevent: Whole\ndata: {}\n\n",
		"id: 1\nevent: Failure\ndata: {\"error\":{\"code\":\"Overloaded\"},\"Outcome\":\"NotRun\"}\n\n", "id: 1\nevent: Failure\ndata: x\n\n",
		"id: 1\nevent: Chunk\ndata: a\n\nid: 2\nevent: Failure\ndata: {\"error\":{\"code\":\"Overloaded\"},\"Outcome\":\"NotRun\"}\n\n",
		"id: 2\nevent: Chunk\ndata: a\n\n", "id: 1\nevent: Other\ndata: a\n\n", "event: Chunk\ndata: a\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var next uint64
		last := false
		h := &hop{call: newCall(), sink: func(c snipecall.Chunk) error {
			next++
			must.Eq(t, next, c.Sequence)
			must.False(t, last)
			must.True(t, c.Status == 0 || next == 1 && c.Last && c.Status >= 200)
			last = c.Last
			return nil
		}}
		reader := snipestream.NewReader(bytes.NewReader(input))
		for !h.ended {
			e, err := reader.Read()
			if err != nil {
				break
			}
			if err = h.handleEvent(e); err != nil {
				// A call with a part of its answer may have run, whatever the peer reports.
				must.True(t, next == 0 || snipeerror.From(err).Outcome == snipeerror.MayHaveRun)
				return
			}
		}
		must.Eq(t, h.ended, last)
	})
}
