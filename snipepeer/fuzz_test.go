package snipepeer

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
)

// FuzzDecodeCall: whatever a peer sends, a call that is taken is one that an
// instance could have sent.
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
		c, d, err := DecodeCall(h)
		if err != nil {
			must.ErrorIs(t, err, ErrBadCall)
			return
		}
		must.True(t, c.Class < snipecall.Classes)
		must.True(t, c.Upstream != "" && c.Method != "" && c.Path != "")
		must.True(t, c.Adapter.IsZero() || c.Adapter.Team == c.Team)
		must.True(t, d >= -maxWait && d <= maxWait)
		must.True(t, time.Now().Add(d).After(time.Time{}))
	})
}
