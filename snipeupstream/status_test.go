package snipeupstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestand"
)

// noStatuses are statuses that are none of a final answer.
var noStatuses = []string{"000", "099", "101", "600", "999"}

// statusAnswer is an answer with a status.
func statusAnswer(status, body string) snipestand.RawAnswer {
	return snipestand.RawAnswer{Text: fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)}
}

// TestServiceStatusOutOfRange guards against an answer with a status that is none, which a caller gets as an answer: with 000 as
// a stream with the status 200. The call may have run.
func TestServiceStatusOutOfRange(t *testing.T) {
	for _, status := range noStatuses {
		for _, idempotent := range []bool{false, true} {
			t.Run(status, func(t *testing.T) {
				s := &Service{Name: "p1", Address: serveBytes(t, statusAnswer(status, "x")), Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP())}
				err := s.Call(t.Context(), serviceCall(idempotent), func(k snipecall.Chunk) error {
					t.Errorf("status %d is an answer", k.Status)
					return nil
				})
				must.ErrorIs(t, err, snipeerror.ErrUpstreamFailed)
				must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
			})
		}
	}
	for _, status := range []string{"200", "404", "599"} {
		t.Run(status, func(t *testing.T) {
			s := &Service{Name: "p1", Address: serveBytes(t, statusAnswer(status, "x")), Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP())}
			got := ""
			must.NoError(t, s.Call(t.Context(), serviceCall(false), func(k snipecall.Chunk) error {
				got = fmt.Sprint(k.Status)
				return nil
			}))
			must.Eq(t, status, got)
		})
	}
}

// TestOrderStatusOutOfRange guards against an order that counts as not carried out because of an answer with a status that is none,
// and against a list of models or metrics that is taken from one.
func TestOrderStatusOutOfRange(t *testing.T) {
	for _, status := range noStatuses {
		t.Run(status, func(t *testing.T) {
			e := &Engine{Name: "e1", Address: serveBytes(t, statusAnswer(status, `{"data":[]}`)), Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP())}
			must.ErrorIs(t, e.Load(t.Context(), testAlias, "path", 1), ErrOrderUnknown)
			must.ErrorIs(t, e.Unload(t.Context(), testAlias, 1), ErrOrderUnknown)
			_, err := e.Aliases(t.Context())
			must.ErrorIs(t, err, ErrReport)
			_, err = e.Report(t.Context())
			must.ErrorIs(t, err, ErrReport)
		})
	}
}

// TestCloseIdleConnections guards against connections that stay open after a silence because the transport hides how to close them.
func TestCloseIdleConnections(t *testing.T) {
	address, accepted := serveCopies(t, false, echo, func(id string) string { return id })
	s := &Service{Name: "p1", Address: address, Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP()), Progress: 5 * time.Second}
	for range 2 {
		must.NoError(t, s.Call(t.Context(), serviceCall(true), func(snipecall.Chunk) error { return nil }))
		time.Sleep(20 * time.Millisecond) // the connection becomes idle
		s.Pooled.CloseIdleConnections()
	}
	must.Eq(t, 2, accepted.Load())
}

// TestEngineStatusOutOfRange guards against a call that counts as not run because of an answer with a status that is none.
func TestEngineStatusOutOfRange(t *testing.T) {
	for _, status := range noStatuses {
		e := &Engine{Name: "e1", Address: serveBytes(t, statusAnswer(status, "x")), Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP()), Progress: 5 * time.Second}
		err := e.Call(t.Context(), modelCall(), testAlias, func(snipecall.Chunk) error { return nil })
		must.Error(t, err, must.Sprint(status))
		must.False(t, errors.Is(err, ErrNotResident))
		must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
	}
}
