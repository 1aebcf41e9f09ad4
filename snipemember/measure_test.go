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

// connectionOverhead is the number of bytes that a connection for each request adds: ten segments
// with headers of 52 bytes.
const connectionOverhead = 10 * 52

// spreadTime waits until a fraction of the instances has a digest of the topic, for up to one minute,
// and returns the time that this took.
func (c *cluster) spreadTime(topic string, fraction float64) time.Duration {
	began := time.Now()
	for float64(c.countWith(topic)) < fraction*float64(len(c.instances)) && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// rates returns messages, bytes, and bytes with TCP/IP headers since the last call, each per second
// and instance. over is the time since that call.
func (c *cluster) rates(over time.Duration) (messages, bytes, wire float64) {
	requests, total := 0, 0
	for n := range c.instances {
		t := c.network.Traffic(address(n))
		requests += t.Requests
		total += t.Bytes
	}
	per := float64(len(c.instances)) * over.Seconds()
	// A request is counted both at its sender and at its receiver, and the headers of its packets
	// count at both.
	return float64(requests) / per, float64(total) / per, float64(total+requests*connectionOverhead) / per
}

// TestMeasure prints a table of bytes and messages per second and instance, idle and with one
// announcement of 100 bytes per second in the whole cluster, and the times until a digest and a
// death are known.
func TestMeasure(t *testing.T) {
	fmt.Fprintln(os.Stdout, "Row: | instances | idle messages/s | idle B/s | idle B/s with TCP/IP | busy B/s | busy B/s with TCP/IP | 95 in 100 told, ms | all told, ms | death known by all, s |")
	for _, size := range []int{3, 9, 30, 100, 340} {
		synctest.Test(t, func(t *testing.T) { measure(t, size) })
	}
}

func measure(t *testing.T, size int) {
	const span = time.Minute
	c := &cluster{t: t, network: snipestand.NewPeerNetwork(time.Millisecond)}
	defer c.stop()
	for n := range size {
		c.start(n)
	}
	time.Sleep(4 * span)
	c.rates(span)
	time.Sleep(span)
	messages, idle, idleWire := c.rates(span)
	c.instances[0].Announce("Once", "k", make([]byte, 100), time.Hour)
	most := c.spreadTime("Once", 0.95)
	all := most + c.spreadTime("Once", 1)
	time.Sleep(span / 2)
	c.rates(span)
	for n := range int(span / time.Second) {
		c.instances[n%size].Announce("Many", fmt.Sprint(n), make([]byte, 100), 2*time.Minute)
		time.Sleep(time.Second)
	}
	_, busy, busyWire := c.rates(span)
	c.kill(size - 1)
	began := time.Now()
	for c.countReporting(size-1, snipemember.Dead) < size-1 && time.Since(began) < 5*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Fprintf(os.Stdout, "Row: | %d | %.2f | %.0f | %.0f | %.0f | %.0f | %d | %d | %.1f |\n",
		size, messages, idle, idleWire, busy, busyWire, most.Milliseconds(), all.Milliseconds(), time.Since(began).Seconds())
}
