package sniperetry

import (
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// BenchmarkBudget measures the accounting of one answered call and one retry.
func BenchmarkBudget(b *testing.B) {
	budget := DefaultBudget()
	b.ReportAllocs()
	for b.Loop() {
		budget.Spend("team")
		budget.Earn("team")
	}
}

// BenchmarkRepeatable measures the decision whether a retry of a call is useful and safe.
func BenchmarkRepeatable(b *testing.B) {
	c := &snipecall.Call{ID: "call", Idempotent: true}
	var err error = snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "test")
	b.ReportAllocs()
	for b.Loop() {
		retryable(c, err)
	}
}

// BenchmarkWindow measures the accounting of one request and of one retry that is reserved and sent.
func BenchmarkWindow(b *testing.B) {
	w := &Window{Share: 1, Slack: func() float64 { return 1e9 }, Span: 10 * time.Second, Delay: 200 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		w.CountRequest(time.Now())
		w.Reserve()
		w.Spend()
	}
}
