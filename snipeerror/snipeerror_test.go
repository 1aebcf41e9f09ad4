package snipeerror

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzDecode checks that a decoded failure has a defined kind and outcome, and that it keeps them
// when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(New(ErrLimited, NotRun, "rate").After(time.Second).Encode("id-1"))
	for _, seed := range []string{
		`{}`, `[]`, `{"error":{"code":"Overloaded"},"Outcome":"NotRun"}`, `{"error":{"code":"Overloaded"},"Outcome":"Ran"}`,
		`{"error":{"code":"Overloaded"},"Outcome":"NotRun","RetryAfterMilliseconds":9223372036854775807}`,
		`{"error":{"code":"Overloaded"},"Outcome":"NotRun","RetryAfterMilliseconds":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			must.ErrorIs(t, err, ErrBadBody)
			return
		}
		must.True(t, e.Outcome == NotRun || e.Outcome == MayHaveRun)
		must.True(t, e.RetryAfter >= 0 && e.RetryAfter <= maxRetryAfter)
		again, err := Decode(e.Encode(""))
		must.NoError(t, err)
		must.ErrorIs(t, again, e.Kind)
		must.Eq(t, e.Outcome, again.Outcome)
	})
}

// TestReasonUnchangedByForwarding checks that the reason of a failure stays the same when several
// instances forward it. Encoding Error() as the reason would add a prefix at each instance.
func TestReasonUnchangedByForwarding(t *testing.T) {
	e := New(ErrOverloaded, NotRun, "queue is full")
	for range 3 {
		var err error
		e, err = Decode(e.Encode(""))
		must.NoError(t, err)
	}
	must.Eq(t, "queue is full", e.Reason)
}

// TestWrite checks that the header and the body contain the same retry time, which the header
// rounds up to seconds.
func TestWrite(t *testing.T) {
	w := httptest.NewRecorder()
	New(ErrLimited, NotRun, "rate").After(1200*time.Millisecond).Write(w, "id-1")
	must.Eq(t, 429, w.Code)
	must.Eq(t, "2", w.Header().Get("Retry-After"))
	must.StrContains(t, w.Body.String(), `"RetryAfterMilliseconds":1200`)
}

// TestKindsDocumented checks that docs/callers.md lists each kind with its code and status, and no
// other.
func TestKindsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/callers.md")
	must.NoError(t, err)
	for _, k := range kinds {
		must.StrContains(t, string(page), fmt.Sprintf("| `%s` | %d |", k.code, k.status))
	}
	must.Eq(t, len(kinds), strings.Count(strings.Split(string(page), "| Code | Status |")[1], "\n| `"))
}
