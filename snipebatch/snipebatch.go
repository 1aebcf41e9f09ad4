// Package snipebatch makes one transaction of the conditional writes that wait at the same time.
//
// Design. A store that is slow makes few transactions a second, whatever they hold. A Writer has
// one of them under way at a time; the writes that come meanwhile go together in the next one, as
// many as it may hold. Each keeps its own verdict.
//
// Invariants:
//
//   - A write is made only if all its conditions hold, alone or with others: those of one
//     transaction concern different rows, so that each would have been made by itself too.
//   - A write whose conditions do not hold keeps no other from being made.
//   - Writes go in the order in which they came, but for those that do not fit or that concern
//     the rows of an earlier one.
package snipebatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// WriteFunc makes all changes or none and returns the version that the changed rows have then. Its
// errors are those of package snipeplatform.
type WriteFunc = func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)

// Writer joins writes. Exported fields are set before the first one. It is safe for concurrent use.
type Writer struct {
	// Write makes one transaction. It ends by itself when the store does not answer.
	Write WriteFunc
	// Most is how many conditions and writes a transaction holds at most.
	Most int
	// Gather returns for how long others are waited for before a transaction, by how long the last
	// one took; nil for not at all.
	Gather func(took time.Duration) time.Duration
	// Pause returns how long to wait before the writes of a transaction that failed go again, together
	// with those that have come meanwhile; zero for not at all. Nil stands for zero.
	Pause func(err error, took time.Duration) time.Duration
	// Joined is told of each transaction that holds several writes; nil for nobody.
	Joined func(writes int, err error)

	lock    sync.Mutex // guards the fields below
	waiting []*write
	busy    bool          // transactions are made
	took    time.Duration // by the last one
}

// write is one that waits.
type write struct {
	operation string
	changes   []snipeplatform.Change
	deadline  time.Time // zero for none
	// alone tells that it failed beside others without a reason.
	alone bool
	done  chan result
}

type result struct {
	version uint64
	err     error
}

// Do makes a write together with those that wait. Its errors are those of package snipeplatform:
// where ctx ends before the write was sent it wraps ErrUnavailable, and ErrUnknown after that.
func (w *Writer) Do(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	q := &write{operation: operation, changes: changes, done: make(chan result, 1)}
	q.deadline, _ = ctx.Deadline()
	w.add(q)
	select {
	case r := <-q.done:
		return r.version, r.err
	case <-ctx.Done():
		return w.abandon(q)
	}
}

func (w *Writer) add(q *write) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.waiting = append(w.waiting, q)
	if !w.busy {
		w.busy = true
		go w.run()
	}
}

// abandon takes a write back, and returns what has become of it.
func (w *Writer) abandon(q *write) (uint64, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for n, other := range w.waiting {
		if other == q {
			w.waiting = append(w.waiting[:n], w.waiting[n+1:]...)
			return 0, errors.Wrap(snipeplatform.ErrUnavailable, "given up before it was sent")
		}
	}
	select {
	case r := <-q.done:
		return r.version, r.err
	default:
		return 0, errors.Wrap(snipeplatform.ErrUnknown, "given up while it was under way")
	}
}

// run makes transactions until nothing waits.
func (w *Writer) run() {
	w.gather()
	for batch := w.next(); batch != nil; batch = w.next() {
		var changes []snipeplatform.Change
		for _, q := range batch {
			changes = append(changes, q.changes...)
		}
		begun := time.Now()
		// Those that wait may give up; what was sent goes on to its end.
		version, err := w.Write(context.Background(), batch[0].operation, changes)
		w.note(time.Since(begun))
		if len(batch) > 1 && w.Joined != nil {
			w.Joined(len(batch), err)
		}
		if pause := w.pause(err, time.Since(begun)); pause > 0 {
			w.again(batch, false)
			time.Sleep(pause)
		} else {
			w.settle(batch, result{version, err})
			w.gather()
		}
	}
}

// gather waits for others that are about to write.
func (w *Writer) gather() {
	w.lock.Lock()
	took := w.took
	w.lock.Unlock()
	if w.Gather != nil {
		time.Sleep(w.Gather(took))
	}
}

// note notes how long a transaction took.
func (w *Writer) note(took time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.took = took
}

// pause returns for how long the writes of a transaction wait until they go again; zero where they
// are told what became of it. They go again only if nothing was done.
func (w *Writer) pause(err error, took time.Duration) time.Duration {
	if w.Pause == nil || !errors.Is(err, snipeplatform.ErrUnavailable) {
		return 0
	}
	return w.Pause(err, took)
}

// again has writes go first in the next transaction, or each in one of its own.
func (w *Writer) again(batch []*write, alone bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, q := range batch {
		q.alone = alone
	}
	w.waiting = append(batch, w.waiting...)
}

// next takes the writes of the next transaction; nil when none waits. A write that would be given up
// before a transaction as long as the last one ends is not sent: what became of it would not be known.
func (w *Writer) next() []*write {
	w.lock.Lock()
	defer w.lock.Unlock()
	var batch, rest []*write
	room, rows, end := w.Most, make(map[snipeplatform.Key]bool), time.Now().Add(w.took)
	for _, q := range w.waiting {
		if !q.deadline.IsZero() && q.deadline.Before(end) {
			q.done <- result{err: errors.Wrap(snipeplatform.ErrUnavailable, "no time is left for it")}
			continue
		}
		size := snipeplatform.Entries(q.changes)
		if len(batch) > 0 && (size > room || q.alone || batch[0].alone || touches(rows, q.changes)) {
			rest = append(rest, q)
			continue
		}
		batch = append(batch, q)
		room -= size
		for _, c := range q.changes {
			rows[c.Key] = true
		}
	}
	w.waiting, w.busy = rest, batch != nil
	return batch
}

// touches reports whether changes concern any of the rows.
func touches(rows map[snipeplatform.Key]bool, changes []snipeplatform.Change) bool {
	for _, c := range changes {
		if rows[c.Key] {
			return true
		}
	}
	return false
}

// settle tells the writes of a transaction what became of them. One of them whose conditions did
// not hold has kept the others from being made: these go first in the next one.
func (w *Writer) settle(batch []*write, r result) {
	if len(batch) == 1 || !errors.Is(r.err, snipeplatform.ErrConflict) {
		for _, q := range batch {
			q.done <- r
		}
		return
	}
	var again []*write
	for _, q := range batch {
		if fails(q.changes, r.err) {
			q.done <- r
		} else {
			again = append(again, q)
		}
	}
	w.again(again, len(again) == len(batch))
}

// fails reports whether a conflict tells that the conditions of changes did not hold.
func fails(changes []snipeplatform.Change, err error) bool {
	var conflict *snipeplatform.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for _, c := range changes {
		if conflict.Versions[c.Key] != c.Expect {
			return true
		}
	}
	return false
}
