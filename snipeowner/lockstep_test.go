package snipeowner_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
)

// crowd is a number of instances that reach the table at all times and take their steps in
// turn, for sizes at which a goroutine for each is too slow.
type crowd struct {
	clock   time.Duration
	engines []netip.AddrPort
	holders []*snipeowner.Holder
}

// small returns an address from a number.
func small(network byte, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, network, byte(n / 250), byte(n%250 + 1)}), port)
}

func newCrowd(tb testing.TB, instances, engines int) *crowd {
	tb.Helper()
	t := &table{rows: map[snipeplatform.Key]snipeplatform.Row{}}
	w := &crowd{}
	for n := range engines {
		w.engines = append(w.engines, small(9, n, 80))
	}
	for n := range instances {
		peer := small(1, n, 70)
		w.holders = append(w.holders, &snipeowner.Holder{
			Table: snipeowner.Table{
				List: func(_ context.Context, partition string, since uint64) ([]snipeplatform.Row, uint64, error) {
					rows, mark := t.listSince(partition, since)
					return rows, mark, nil
				},
				Write: func(_ context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
					return t.write(operation, changes)
				},
			},
			Self:      snipeowner.Instance{Name: fmt.Sprint("i", n), Incarnation: "1", Peer: peer},
			Engines:   func() []netip.AddrPort { return w.engines },
			OrderGap:  orderGap,
			Clock:     func() time.Duration { return w.clock },
			Operation: func() string { return "" },
			Log:       snipelog.Discard(),
		})
	}
	return w
}

// step lets all instances take a step within a second.
func (w *crowd) step(tb testing.TB) {
	tb.Helper()
	for _, h := range w.holders {
		h.Step(tb.Context())
	}
	w.clock += time.Second
}

// owners returns how many instances own engines.
func (w *crowd) owners() int {
	n := 0
	for _, h := range w.holders {
		if _, owns := w.fences(h); owns {
			n++
		}
	}
	return n
}

// ordered returns how many engines may be ordered.
func (w *crowd) ordered() int {
	n := 0
	for _, h := range w.holders {
		ordered, _ := w.fences(h)
		n += ordered
	}
	return n
}

func (w *crowd) fences(h *snipeowner.Holder) (ordered int, owns bool) {
	for _, e := range w.engines {
		if _, ok := h.Fence(e); ok {
			ordered++
		}
	}
	return ordered, ordered > 0
}
