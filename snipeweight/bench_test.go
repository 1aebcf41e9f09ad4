package snipeweight

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkAsk is a repeated ask with 1,000 others of 100 teams waiting.
func BenchmarkAsk(b *testing.B) {
	q := newQueue(1e-9, 1)
	gone, cancel := context.WithCancel(b.Context())
	cancel()
	ask := func(n int) {
		q.Ask(gone, Ask{
			ID: ID{"asker", uint64(n)}, Path: fmt.Sprint(n), Team: fmt.Sprint(n % 100),
			Weight: float64(n%7 + 1), Hold: time.Minute,
		})
	}
	for n := range 1000 {
		ask(n)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		ask(1 + n%999)
		n++
	}
}
