package snipelimit

import (
	"strconv"
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipetree"
)

// BenchmarkQueueFree measures a call to an upstream that has a free slot.
func BenchmarkQueueFree(b *testing.B) {
	q := NewQueue(32)
	c := newCall("a", snipecall.Standard, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		done, err := q.Enter(b.Context(), c)
		if err != nil {
			b.Fatal(err)
		}
		done(nil)
	}
}

// BenchmarkQueueFull measures the choice of the next call among 100 teams that
// have a waiting call.
func BenchmarkQueueFull(b *testing.B) {
	q := NewQueue(32)
	q.limit.value = 0
	for n := range 100 {
		w := &waiter{call: newCall(strconv.Itoa(n), snipecall.Standard, time.Hour), decision: make(chan error, 1)}
		q.push(w)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.nextTeam(snipecall.Standard)
	}
}

// BenchmarkAdmit measures the admission of a call of a limited team.
func BenchmarkAdmit(b *testing.B) {
	teams := &Teams{Limit: fixed(snipetree.Limit{Concurrent: 10}), Instances: func() int { return 340 }}
	c := newCall("a", snipecall.Standard, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := teams.Admit(c)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
