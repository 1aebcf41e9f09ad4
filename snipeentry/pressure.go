package snipeentry

import (
	"context"
	"time"

	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipepressure"
	"snipepitch.example/snipepitch/snipetime"
)

// The memory of an instance (Settings.MemoryBytes) is divided like this. The limit of Go's memory is
// at 0.7 of it, so that 0.3 are left for the program itself and for kernel buffers.
const (
	// pressureShare is the part for all that is held for requests, kernel buffers included. The
	// kernel's part of it is at most two thirds. What is left of Go's 0.7 is for the copies of the
	// tables, for garbage and for connections.
	pressureShare = 0.36
	// connectionShare is the part for connections of callers that have no request.
	connectionShare = 0.06
	// headShare is the part for heads of requests that are being read. A head is read within milliseconds, so that few are
	// at once.
	headShare = 0.04
	// idleConnectionBytes is what a connection without a request holds: the goroutine and two buffers of
	// net/http, and the kernel's state of a socket.
	idleConnectionBytes = 20 << 10
	// minSocketBuffer and maxSocketBuffer bound the size of kernel buffers, which is a
	// socketBufferDivisor-th of the memory. At a round trip of one millisecond, minSocketBuffer allows
	// 130 Mbit/s on each connection.
	minSocketBuffer     = 16 << 10
	maxSocketBuffer     = 32 << 10
	socketBufferDivisor = 1 << 14
	// buffersPerRequest is how many kernel buffers of a request are full at once: while the answer is
	// delivered, that from the upstream and that to the caller.
	buffersPerRequest = 2
	// kernelFactor is what the kernel takes for a buffer, in multiples of the size that is set.
	kernelFactor = 2
	// maxUnread is how long a caller may read nothing of an answer that is ready, also while there is
	// room. It is longer than the outage of a link that TCP survives with a few retransmissions.
	maxUnread = 10 * time.Second
	// pressureInterval is the time between two readings of how much blocked callers have read.
	pressureInterval = 250 * time.Millisecond
)

// socketBuffer returns the size of kernel buffers of the connections that carry requests; 0 leaves it
// to the kernel.
func (s Settings) socketBuffer() int {
	if s.MemoryBytes <= 0 {
		return 0
	}
	return int(min(max(s.MemoryBytes/socketBufferDivisor, minSocketBuffer), maxSocketBuffer))
}

// socketBytes returns what the kernel holds for a request at most.
func (s Settings) socketBytes() int64 {
	return int64(buffersPerRequest * kernelFactor * s.socketBuffer())
}

// pressureBound returns the bytes that may be held for all requests; 0 for no bound.
func (s Settings) pressureBound() int64 { return int64(pressureShare * float64(s.MemoryBytes)) }

// headsBound returns the bytes that may be held for heads that are being read; 0 for no bound.
func (s Settings) headsBound() int64 { return int64(headShare * float64(s.MemoryBytes)) }

// maxConnections returns how many connections of callers are accepted: those of all requests that the
// bound admits, and some without a request; 0 for no bound.
func (s Settings) maxConnections() int {
	if s.MemoryBytes <= 0 {
		return 0
	}
	requests := s.pressureBound() / (snipegateway.RequestBytes + s.socketBytes())
	return int(requests) + int(connectionShare*float64(s.MemoryBytes))/idleConnectionBytes
}

const connectionsRefusedCounter = "snipepitch_connections_refused_total"

// buildPressure creates the budget of the bytes held for requests.
func (i *Instance) buildPressure() {
	i.pressure = &snipepressure.Budget{
		Bound: i.Settings.pressureBound(), MaxUnread: maxUnread,
		WorkspaceSeen: func(w string) {
			label := i.gateway.WorkspaceLabel(w)
			i.meter.Gauge("snipepitch_held_bytes{workspace="+label+"}", func() float64 {
				return float64(i.pressure.HeldBy(func(w string) bool { return i.gateway.WorkspaceLabel(w) == label }))
			})
		},
		LevelChanged: func(now snipepressure.Level, held int64) {
			event := snipelog.MemoryHigh
			if now == snipepressure.Free {
				event = snipelog.MemoryFree
			}
			i.Log.Log(event, snipelog.Fields{"Held": held, "Bound": i.Settings.pressureBound(), "InFlight": i.gateway.InFlight()})
		},
	}
	if i.pressure.Active() {
		i.connections = &connectionLimit{most: i.Settings.maxConnections(), connections: i.callers, refused: i.connectionsRefused}
		i.meter.Add(connectionsRefusedCounter, 0) // shown from the start
		i.meter.Add(headsRefusedCounter, 0)
		i.meter.Gauge("snipepitch_held_bytes_bound", func() float64 { return float64(i.pressure.Bound) })
		i.meter.Gauge("snipepitch_caller_connections", func() float64 { return float64(i.callers.Open()) })
	}
}

// runPressure watches the callers that do not read.
func (i *Instance) runPressure(ctx context.Context) error {
	return snipetime.Every(ctx, pressureInterval, func(context.Context) { i.pressure.Sweep() })
}

// connectionsRefused counts connections that were refused at the bound, and logs the first of a second.
func (i *Instance) connectionsRefused(open int, first bool) {
	i.meter.Count(connectionsRefusedCounter)
	if first {
		i.Log.Log(snipelog.ConnectionsFull, snipelog.Fields{"Open": open, "Bound": i.Settings.maxConnections()})
	}
}
