package snipeplatform_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
)

var (
	tableAddress = netip.MustParseAddrPort("10.0.0.9:8000")
	rowKey       = snipeplatform.Key{Partition: "p", Sort: "s"}
)

// respond returns a handler that sends a fixed status and body.
func respond(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		w.WriteHeader(status)
		// The write fails if the client has closed the connection.
		_, _ = w.Write([]byte(body))
	})
}

// exception returns a handler that fails with the named exception of the service. The rest is added
// to the fields of its JSON document.
func exception(name, rest string) http.Handler {
	return respond(http.StatusBadRequest, `{"__type": "com.amazonaws.dynamodb.v20120810#`+name+`"`+rest+`}`)
}

// hang never answers within the timeout of a request.
func hang(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) }

// abort closes the connection without an answer.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestOutcome guards against reporting a write that may have taken effect as not done, and a
// request that cannot have had an effect, such as a failed read, as unknown.
func TestOutcome(t *testing.T) {
	tests := map[string]struct {
		handler http.Handler
		dial    func(ctx context.Context, network, address string) (net.Conn, error)
		write   error
		read    error
	}{
		"table":          {handler: snipestand.NewTable(), read: snipeplatform.ErrNotFound},
		"nobody listens": {write: snipeplatform.ErrUnavailable, read: snipeplatform.ErrUnavailable},
		"dial hangs": {
			dial: func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(time.Minute)
				return nil, errors.New("dial timed out")
			},
			write: snipeplatform.ErrUnavailable, read: snipeplatform.ErrUnavailable,
		},
		"hangs":      {handler: http.HandlerFunc(hang), write: snipeplatform.ErrUnknown, read: snipeplatform.ErrUnavailable},
		"reply lost": {handler: http.HandlerFunc(abort), write: snipeplatform.ErrUnknown, read: snipeplatform.ErrUnavailable},
		"internal error": {
			handler: respond(http.StatusInternalServerError, `{"__type": "InternalServerError"}`),
			write:   snipeplatform.ErrUnknown, read: snipeplatform.ErrUnavailable,
		},
		"not JSON": {handler: respond(http.StatusOK, `<html>`), write: snipeplatform.ErrUnknown, read: snipeplatform.ErrUnavailable},
		"throttled": {
			handler: exception("ProvisionedThroughputExceededException", ""),
			write:   snipeplatform.ErrUnavailable, read: snipeplatform.ErrUnavailable,
		},
		"limited": {
			handler: exception("RequestLimitExceeded", ""),
			write:   snipeplatform.ErrUnavailable, read: snipeplatform.ErrUnavailable,
		},
		"condition failed": {
			handler: exception("TransactionCanceledException", `, "CancellationReasons": [{"Code": "None"}, {"Code": "ConditionalCheckFailed"}]`),
			write:   snipeplatform.ErrConflict, read: snipeplatform.ErrUnavailable,
		},
		"met another transaction": {
			handler: exception("TransactionCanceledException", `, "CancellationReasons": [{"Code": "TransactionConflict"}]`),
			write:   snipeplatform.ErrUnavailable, read: snipeplatform.ErrUnavailable,
		},
		"same operation in progress": {
			handler: exception("TransactionInProgressException", ""),
			write:   snipeplatform.ErrUnknown, read: snipeplatform.ErrUnavailable,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &snipestand.Network{}
				if tc.dial == nil {
					tc.dial = network.Dial
				}
				if tc.handler != nil {
					server := &http.Server{Handler: tc.handler, ReadHeaderTimeout: time.Minute}
					listener := network.Listen(tableAddress)
					go func() { _ = server.Serve(listener) }()
					defer func() { _ = server.Close() }()
				}
				table := snipeplatform.Dynamo{
					Address: tableAddress, Table: "t", AccessKey: "a", SecretKey: "s", Timeout: 2 * time.Second, Dial: tc.dial,
				}.Open()
				_, err := table.Get(t.Context(), rowKey)
				must.ErrorIs(t, err, tc.read)
				err = table.Write(t.Context(), "operation", []snipeplatform.Change{{Key: rowKey, Data: []byte("{}")}})
				must.ErrorIs(t, err, tc.write)
				network.Cut()
				// Wait until abandoned dials have ended.
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestGuard checks that leases are always admitted, that claims and sweeps are admitted within the
// share of the instance, and that while the table is down they are admitted only as probes. No
// request waits.
func TestGuard(t *testing.T) {
	tests := map[string]struct {
		share float64
		down  bool
		// passed is the number of requests that reach the table, of 100 sent in 10 s.
		passed map[snipeplatform.Priority]int
	}{
		"enough": {100, false, map[snipeplatform.Priority]int{snipeplatform.Leases: 100, snipeplatform.Claims: 100, snipeplatform.Sweeps: 100}},
		"scarce": {1, false, map[snipeplatform.Priority]int{snipeplatform.Leases: 100, snipeplatform.Claims: 14, snipeplatform.Sweeps: 13}},
		"down":   {100, true, map[snipeplatform.Priority]int{snipeplatform.Leases: 100, snipeplatform.Claims: 13, snipeplatform.Sweeps: 13}},
	}
	for name, tc := range tests {
		for priority, passed := range tc.passed {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					received := 0
					g := &snipeplatform.Guard{
						Table: snipeplatform.Table{Get: func(context.Context, snipeplatform.Key) (snipeplatform.Row, error) {
							received++
							if tc.down {
								return snipeplatform.Row{}, errors.Wrap(snipeplatform.ErrUnavailable, "down")
							}
							return snipeplatform.Row{}, nil
						}},
						Share: func() float64 { return tc.share },
					}
					for range 100 {
						start := time.Now()
						_, err := g.For(priority).Get(t.Context(), rowKey)
						if tc.down {
							must.ErrorIs(t, err, snipeplatform.ErrUnavailable)
						}
						must.Zero(t, time.Since(start))
						time.Sleep(100 * time.Millisecond)
					}
					must.Eq(t, passed, received, must.Sprintf("priority %d", priority))
				})
			})
		}
	}
}
