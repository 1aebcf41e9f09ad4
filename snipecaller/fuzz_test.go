package snipecaller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestop"
)

// FuzzCall guards against requests that pass the checks with invalid fields:
// each request is either refused with a body that states NotRun, or it becomes
// a call that names exactly one adapter or service.
func FuzzCall(f *testing.F) {
	f.Add("POST", "/v1/completions", goodBody, "Bulk", "5s", "true", "k")
	f.Add("POST", "/v1/chat/completions", `{"model":"plume@2","messages":[],"stream":true}`, "", "", "", "")
	f.Add("PUT", "/services/orders/a%2Fb?x=1", "", "Status", "100h", "0", "")
	f.Add("GET", "/services/other", "x", "x", "-", "x", strings.Repeat("k", 300))
	f.Add("GET", "/services/orders/../../v1/load_lora_adapter", "", "", "1ns", "", "\r\n")
	f.Add("POST", "/v1/completions", `{"model":"x/plume@2"}`, "", "9999999999999h", "", "")
	f.Add("POST", "/v1/completions", `{"model":"plume@2#7.1"}`, "", "NaN", "", "")
	f.Fuzz(func(t *testing.T, method, path, body, class, timeout, idempotent, key string) {
		r, err := http.NewRequest(method, "http://x"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		for name, v := range map[string]string{ClassHeader: class, TimeoutHeader: timeout, IdempotentHeader: idempotent, KeyHeader: key} {
			r.Header.Set(name, v)
		}
		s := newServer(nil)
		c, err := s.parse(httptest.NewRecorder(), r, "id-1", &snipestop.Watch{})
		if err != nil {
			decoded, err := snipeerror.Decode(snipeerror.From(err).Encode("id-1"))
			must.NoError(t, err)
			must.Eq(t, snipeerror.NotRun, decoded.Outcome)
			return
		}
		must.Eq(t, "ash", c.Team)
		must.True(t, c.Class < snipecall.Classes)
		must.True(t, c.Adapter.IsZero() == (c.Service == "orders"))
		must.True(t, c.Adapter.IsZero() || c.Adapter.Team == "ash")
		must.True(t, strings.HasPrefix(c.Path, "/"))
		must.True(t, time.Until(c.Deadline) <= MaxTimeout)
		must.LessEq(t, maxKeyBytes, len(c.Key))
		fields, err := json.Marshal(c)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(fields, &snipecall.Call{}))
	})
}
