package sniperetry

import (
	"testing"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// BenchmarkBudget is the cost of one answered call and one retry.
func BenchmarkBudget(b *testing.B) {
	budget := DefaultBudget()
	b.ReportAllocs()
	for b.Loop() {
		budget.Spend("team")
		budget.Earn("team")
	}
}

// BenchmarkRepeatable is the cost of the decision whether to start again.
func BenchmarkRepeatable(b *testing.B) {
	c := &snipecall.Call{ID: "call", Idempotent: true}
	var err error = snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "test")
	b.ReportAllocs()
	for b.Loop() {
		repeatable(c, err)
	}
}
