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

// lockstep runs the steps of many instances one after the other, without faults of the table. It
// is for numbers of instances at which a goroutine for each is too slow.
type lockstep struct {
	clock   time.Duration
	engines []netip.AddrPort
	holders []*snipeowner.Holder
}

// testAddress returns the n-th address of a network.
func testAddress(network byte, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, network, byte(n / 250), byte(n%250 + 1)}), port)
}

func newLockstep(tb testing.TB, instances, engines int) *lockstep {
	tb.Helper()
	t := &table{rows: map[snipeplatform.Key]snipeplatform.Row{}}
	l := &lockstep{}
	for n := range engines {
		l.engines = append(l.engines, testAddress(9, n, 80))
	}
	for n := range instances {
		peer := testAddress(1, n, 70)
		l.holders = append(l.holders, &snipeowner.Holder{
			Table: snipeowner.Table{
				List: func(_ context.Context, partition string, since uint64) ([]snipeplatform.Row, uint64, error) {
					rows, position := t.listSince(partition, since)
					return rows, position, nil
				},
				Write: func(_ context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
					return t.write(operation, changes)
				},
			},
			Self:      snipeowner.Instance{Name: fmt.Sprint("i", n), Incarnation: "1", Peer: peer},
			Engines:   func() []netip.AddrPort { return l.engines },
			OrderGap:  orderGap,
			Clock:     func() time.Duration { return l.clock },
			Operation: func() string { return "" },
			Log:       snipelog.Discard(),
		})
	}
	return l
}

// step runs one step of each instance and advances the clock by a second.
func (l *lockstep) step(tb testing.TB) {
	tb.Helper()
	for _, h := range l.holders {
		h.Step(tb.Context())
	}
	l.clock += time.Second
}

// owners returns how many instances may order engines.
func (l *lockstep) owners() int {
	n := 0
	for _, h := range l.holders {
		if _, owns := l.orderableBy(h); owns {
			n++
		}
	}
	return n
}

// orderable returns how many engines some instance may order now.
func (l *lockstep) orderable() int {
	n := 0
	for _, h := range l.holders {
		orderable, _ := l.orderableBy(h)
		n += orderable
	}
	return n
}

// orderableBy returns how many engines an instance may order, and whether there are any.
func (l *lockstep) orderableBy(h *snipeowner.Holder) (orderable int, owns bool) {
	for _, e := range l.engines {
		if _, ok := h.Fence(e); ok {
			orderable++
		}
	}
	return orderable, orderable > 0
}
