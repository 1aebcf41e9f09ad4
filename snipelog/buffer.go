package snipelog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipering"
)

const (
	// bufferLines is the number of lines that the buffer holds while the reader of the log is slow.
	bufferLines = 8192
	// flushTime bounds the time for which the end of the process waits for buffered lines to be
	// written.
	flushTime = time.Second
)

// Buffer is an io.Writer that buffers log lines and writes them in a separate goroutine, so that a
// log whose reader is slow or has stopped never blocks a call. Lines that do not fit into the
// buffer are dropped and counted.
type Buffer struct {
	out     io.Writer
	ring    *snipering.Ring[[]byte]
	dropped atomic.Uint64
}

// NewBuffer returns a buffer that writes to out once it is started.
func NewBuffer(out io.Writer) *Buffer {
	return &Buffer{out: out, ring: snipering.New[[]byte](bufferLines)}
}

// Write implements io.Writer. It copies one line into the buffer. It never blocks and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	if !b.ring.TryPush(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the buffer was full.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

// Start starts the goroutine that writes lines. The returned function waits until all buffered
// lines are written, but at most flushTime, since the reader may have stopped for good.
func (b *Buffer) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(ctx)
	}()
	return func() {
		cancel()
		t := time.NewTimer(flushTime)
		defer t.Stop()
		select {
		case <-done:
		case <-t.C:
		}
	}
}

// run writes lines until ctx has ended and the buffer is empty.
func (b *Buffer) run(ctx context.Context) {
	for {
		line, err := b.ring.Pop(ctx)
		if err != nil {
			return
		}
		// There is no other place to report that the log cannot be written.
		_, _ = b.out.Write(line)
	}
}
