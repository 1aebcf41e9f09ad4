package snipelog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipering"
)

const (
	// bufferLines is how many lines may wait for a slow reader of the log.
	bufferLines = 8192
	// flushTime bounds the wait for the reader when the process ends.
	flushTime = time.Second
)

// Buffer takes log lines and writes them in a duty of its own, so that a log
// whose reader is slow or has stopped never holds up a call. Lines that do not
// fit are dropped and counted.
type Buffer struct {
	out     io.Writer
	ring    *snipering.Ring[[]byte]
	dropped atomic.Uint64
}

// NewBuffer returns a buffer before out.
func NewBuffer(out io.Writer) *Buffer {
	return &Buffer{out: out, ring: snipering.New[[]byte](bufferLines)}
}

// Write implements io.Writer. It never waits and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	if !b.ring.TryPush(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

// Start starts the duty. The returned function ends it once the waiting lines
// are written, or after a second: the reader may have stopped for good.
func (b *Buffer) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.run(ctx)
	}()
	return func() {
		cancel()
		t := time.NewTimer(flushTime)
		defer t.Stop()
		select {
		case <-ended:
		case <-t.C:
		}
	}
}

// run writes lines until ctx has ended and none is left.
func (b *Buffer) run(ctx context.Context) {
	for {
		line, ok := b.ring.TryPop()
		if !ok {
			var err error
			if line, err = b.ring.Pop(ctx); err != nil {
				return
			}
		}
		// A log that cannot be written has no other place to say so.
		_, _ = b.out.Write(line)
	}
}
