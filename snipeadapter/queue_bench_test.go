package snipeadapter

import (
	"fmt"
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
)

// BenchmarkQueue measures what one request that is refused costs the owner of an engine, and one that
// is queued and leaves again, with a number of loads queued before it.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			c := &Controller{
				Upstream: func(string) *snipedirectory.Upstream { return nil },
				Newest:   func(snipecatalog.Adapter) int64 { return 0 }, Log: snipelog.Discard(),
			}
			e := c.engine(&snipedirectory.Upstream{ID: "e1"})
			for n := range maxActiveStoreLoads {
				e.activeStoreLoads[&load{number: n, startedAt: time.Now()}] = true
			}
			ensure := func(n int, maxWait time.Duration) (*load, *waiter, error) {
				l, w, _, err := e.findOrQueue(
					snipecatalog.Adapter{Model: "m", Name: fmt.Sprint(n)}, 1, 1,
					Demand{MaxWait: maxWait, Target: maxWait, Deadline: maxWait, Priority: n % 3, Workspace: fmt.Sprint("w", n%5)},
				)
				return l, w, err
			}
			for n := range waiting {
				if _, _, err := ensure(n, time.Hour); err != nil {
					b.Fatal(err)
				}
			}
			b.Run("Refused", func(b *testing.B) {
				for b.Loop() {
					if _, _, err := ensure(waiting, time.Millisecond); err == nil {
						b.Fatal("not refused")
					}
				}
			})
			b.Run("Queued", func(b *testing.B) {
				for b.Loop() {
					l, w, err := ensure(waiting, time.Hour)
					if err != nil {
						b.Fatal(err)
					}
					e.lock.Lock()
					e.removeWaiter(l, w)
					e.lock.Unlock()
				}
			})
		})
	}
}
