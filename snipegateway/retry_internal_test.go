package snipegateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipequarantine"
	"snipepitch.example/snipepitch/sniperetry"
)

// newRetryCall returns a call with the given budget whose request is refused because it crashes
// upstreams.
func newRetryCall(t *testing.T, budget *sniperetry.Window) *call {
	t.Helper()
	c := &call{
		gateway: &Gateway{Budget: func(string) *sniperetry.Window { return budget }, Meter: snipemeter.New()},
		request: &http.Request{Method: http.MethodGet, Host: "h", RequestURI: "/x"},
	}
	suspects := &snipequarantine.Suspects{}
	c.gateway.Crashes = Crashes{Suspects: suspects, Refused: func() {}}
	suspects.Apply(snipequarantine.Suspect{Fingerprint: c.fingerprint(), Round: 1, Refused: true, Left: time.Hour})
	return c
}

// TestReservationReleased guards against a retry that stays reserved for ever because its request ends
// between the decision to send it again and the next attempt.
func TestReservationReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &sniperetry.Window{Slack: func() float64 { return 1 }, Span: 10 * time.Second}
		c := newRetryCall(t, budget)
		c.retryReserved = budget.Reserve()
		must.True(t, c.retryReserved)
		must.Eq(t, 0, budget.Left())
		err := c.serve(t.Context())
		must.True(t, errors.Is(err, snipeerror.ErrQuarantined), must.Sprint(err))
		must.Eq(t, 1, budget.Left())
	})
}

// TestSettleRetry guards against retries that count although they reached no upstream, and against
// retries that reached one and do not count.
func TestSettleRetry(t *testing.T) {
	tests := map[string]struct {
		spends, reaches bool
		left            float64
	}{
		"NotSent":   {false, false, 2},
		"Unreached": {true, false, 2},
		"Reached":   {true, true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := &sniperetry.Window{Slack: func() float64 { return 2 }, Span: 10 * time.Second}
				c := newRetryCall(t, budget)
				c.retryReserved = budget.Reserve()
				before := c.reached
				if tt.spends {
					must.NoError(t, c.spendRetry())
				}
				if tt.reaches {
					c.reached++
				}
				c.settleRetry(before)
				must.Eq(t, tt.left, budget.Left())
				must.False(t, c.retryReserved || c.retrySpent)
			})
		})
	}
}
