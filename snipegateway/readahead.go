package snipegateway

import (
	"io"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipepressure"
)

const (
	// blockSize is the size of the blocks in which bytes that were read ahead are held and counted.
	blockSize = 8 << 10
	// aheadDivisor is the part of the bound of all requests that may be read ahead of one answer: some answers without an
	// end leave room for others. A buffered answer's size is always allowed.
	aheadDivisor = 32
)

// readAhead holds bytes of an answer that the caller has not taken yet.
type readAhead struct {
	answer  io.Reader
	account *snipepressure.Account
	quit    chan struct{} // closed to end run
	done    chan struct{} // closed when run has ended
	more    chan struct{} // holds a value if there may be something new to read
	freed   chan struct{} // holds a value if a block may have become empty
	most    int           // number of blocks that may be held

	lock   sync.Mutex // guards the fields below
	blocks [][]byte   // each has the capacity blockSize; only the last one is not full
	taken  int        // bytes of the first block that were taken
	err    error      // the error after all blocks
}

// newReadAhead returns the reader of an answer where the bytes of all requests have the given bound.
func newReadAhead(answer io.Reader, a *snipepressure.Account, bound int64) *readAhead {
	return &readAhead{
		answer: answer, account: a, most: int(max(bound/aheadDivisor, maxBuffered) / blockSize),
		quit: make(chan struct{}), done: make(chan struct{}), more: make(chan struct{}, 1),
		freed: make(chan struct{}, 1),
	}
}

// run reads until an error, or until quit is closed. While the instance must not hold more, it
// does not read.
func (r *readAhead) run() {
	defer close(r.done)
	for {
		free, ok := r.space()
		if !ok {
			return
		}
		n, err := r.answer.Read(free)
		r.lock.Lock()
		last := len(r.blocks) - 1
		r.blocks[last] = r.blocks[last][:len(r.blocks[last])+n]
		r.err = err
		r.lock.Unlock()
		signal(r.more)
		if err != nil {
			return
		}
	}
}

// space returns the free part of the last block, or of a new one. It returns false if quit is closed.
func (r *readAhead) space() ([]byte, bool) {
	for {
		free, grow := r.freeSpace()
		switch {
		case free != nil:
			return free, true
		case grow != nil && grow(blockSize):
			r.addBlock()
			continue
		}
		select {
		case <-r.quit:
			return nil, false
		case <-r.freed:
		case <-time.After(roomInterval):
		}
	}
}

// freeSpace returns the free part of the last block, or, if there is none, the function that counts
// another block; nil if there must not be another one. The first block is not one that is read ahead: without it, a caller that
// reads again would receive nothing while nothing may be read ahead.
func (r *readAhead) freeSpace() (free []byte, grow func(int64) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.blocks) == 0 {
		return nil, r.account.Grow
	}
	if last := r.blocks[len(r.blocks)-1]; len(last) < blockSize {
		return last[len(last):blockSize], nil
	}
	if len(r.blocks) >= r.most {
		return nil, nil
	}
	return nil, r.account.GrowAhead
}

// addBlock adds a block that was counted, or releases it if the only block was emptied meanwhile.
func (r *readAhead) addBlock() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if n := len(r.blocks); n > 0 && len(r.blocks[n-1]) < blockSize {
		r.account.Release(blockSize)
		return
	}
	r.blocks = append(r.blocks, make([]byte, 0, blockSize))
}

// Read takes bytes that were read ahead. It blocks until there are some.
func (r *readAhead) Read(p []byte) (int, error) {
	for {
		if n, err := r.take(p); n > 0 || err != nil {
			return n, err
		}
		select {
		case <-r.more:
		case <-r.done:
			if n, err := r.take(p); n > 0 || err != nil {
				return n, err
			}
			return 0, io.ErrUnexpectedEOF // quit was closed
		}
	}
}

// take returns bytes that are held, or the error if there are none left.
func (r *readAhead) take(p []byte) (int, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.blocks) == 0 {
		return 0, r.err
	}
	first := r.blocks[0]
	n := copy(p, first[r.taken:])
	r.taken += n
	if r.taken == blockSize {
		r.removeFirst()
	}
	if n == 0 {
		return 0, r.err
	}
	return n, nil
}

// removeFirst removes the first block, of which all bytes were taken. The last one is kept, empty.
// The lock is held.
func (r *readAhead) removeFirst() {
	r.taken = 0
	if len(r.blocks) == 1 {
		r.blocks[0] = r.blocks[0][:0]
		signal(r.freed)
		return
	}
	r.blocks[0] = nil // otherwise it would remain in memory with the rest of the slice
	r.blocks = r.blocks[1:]
	r.account.Release(blockSize)
	signal(r.freed)
}

// stop ends run, whose read must have been interrupted, and releases all blocks.
func (r *readAhead) stop() {
	close(r.quit)
	<-r.done
	r.account.Release(int64(len(r.blocks) * blockSize))
	r.blocks = nil
}

// signal puts a value into a channel with room for one, unless it has one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
