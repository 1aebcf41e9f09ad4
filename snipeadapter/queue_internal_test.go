package snipeadapter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPlaceKeepsTurn guards against a workspace that loses its turn to one that has had more loads when
// another caller joins its only queued load.
func TestPlaceKeepsTurn(t *testing.T) {
	e := &engine{}
	now := time.Now()
	queue := func(number int, workspace string) *load {
		d := Demand{Workspace: workspace, Target: time.Second}
		l := &load{queuedAt: now, number: number, waiters: []*waiter{newWaiter(d, now)}}
		e.push(l)
		return l
	}
	queue(1, "served")
	waiting := queue(2, "waiting")
	e.queue.Charge(0, "served", 8)
	must.True(t, waiting == inOrder(&e.queue, now, now)[0])
	e.addWaiter(waiting, Demand{Workspace: "waiting", Target: 2 * time.Second})
	must.True(t, waiting == inOrder(&e.queue, now, now)[0])
	must.Eq(t, 2, e.queue.Len())
}
