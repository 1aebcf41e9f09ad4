//go:build bench

package snipemember_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipestand"
)

// connectionOverhead is what one request adds on a connection of its own: ten
// segments with headers of 52 bytes.
const connectionOverhead = 10 * 52

// spread returns how long it takes until a share of the nodes has a digest.
func (g *group) spread(topic string, share float64) time.Duration {
	began := time.Now()
	for float64(g.told(topic)) < share*float64(len(g.nodes)) && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// rates returns messages and bytes a second and instance since the last call.
func (g *group) rates(over time.Duration) (messages, bytes, wire float64) {
	requests, total := 0, 0
	for n := range g.nodes {
		t := g.network.Traffic(address(n))
		requests += t.Requests
		total += t.Bytes
	}
	per := float64(len(g.nodes)) * over.Seconds()
	// A request is counted where it is sent and where it is answered, and both
	// sides carry the headers of its packets.
	return float64(requests) / per, float64(total) / per, float64(total+requests*connectionOverhead) / per
}

// TestMeasure prints a table of bytes and messages a second and instance, when
// nothing happens and with one announcement of 100 bytes a second in all, and
// the times until a digest and a death are known.
func TestMeasure(t *testing.T) {
	fmt.Fprintln(os.Stdout, "Row: | instances | idle messages/s | idle B/s | idle B/s with TCP/IP | busy B/s | busy B/s with TCP/IP | 95 in 100 told, ms | all told, ms | death known by all, s |")
	for _, size := range []int{3, 9, 30, 100, 340} {
		synctest.Test(t, func(t *testing.T) { measure(t, size) })
	}
}

func measure(t *testing.T, size int) {
	const span = time.Minute
	g := &group{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
	defer g.end()
	for n := range size {
		g.start(n)
	}
	time.Sleep(4 * span)
	g.rates(span)
	time.Sleep(span)
	messages, idle, idleWire := g.rates(span)
	g.nodes[0].Announce("Once", "k", make([]byte, 100), time.Hour)
	most := g.spread("Once", 0.95)
	all := most + g.spread("Once", 1)
	time.Sleep(span / 2)
	g.rates(span)
	for n := range int(span / time.Second) {
		g.nodes[n%size].Announce("Many", fmt.Sprint(n), make([]byte, 100), 2*time.Minute)
		time.Sleep(time.Second)
	}
	_, busy, busyWire := g.rates(span)
	g.kill(size - 1)
	began := time.Now()
	for g.seenAs(size-1, snipemember.Dead) < size-1 && time.Since(began) < 5*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Fprintf(os.Stdout, "Row: | %d | %.2f | %.0f | %.0f | %.0f | %.0f | %d | %d | %.1f |\n",
		size, messages, idle, idleWire, busy, busyWire, most.Milliseconds(), all.Milliseconds(), time.Since(began).Seconds())
}
