package snipeweight

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkAsk measures one poll of a queued request while 1,000 requests of
// 100 teams wait.
func BenchmarkAsk(b *testing.B) {
	q := newQueue(1e-9, 1)
	ended, cancel := context.WithCancel(b.Context())
	cancel()
	ask := func(n int) {
		q.Ask(ended, Ask{
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
