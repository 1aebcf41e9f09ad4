package snipepressure

import "time"

const (
	// maxProgressAge is the age of the last reading of the progress from which on it is read before an
	// answer is ended for its bytes. It is more than the interval of Sweep, which is exceeded if the
	// process was stopped.
	maxProgressAge = HighGrace / 2
	// freeShare is the fraction of the high mark below which pressure counts as ended, so that a level
	// near the mark is not reported again and again.
	freeShare = 0.8
)

// Block records that the request's answer cannot be written because its caller does not read. since
// is the time from which on the caller has read nothing.
func (a *Account) Block(since time.Time) {
	b := a.budget
	if b == nil {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.blocked == nil {
		b.blocked = make(map[*Account]struct{})
	}
	b.blocked[a] = struct{}{}
	a.unreadSince = since
	if a.Progress != nil {
		a.lastProgress = a.Progress()
	}
}

// Unblock records that the write has ended. When it has returned, End is not called any more.
func (a *Account) Unblock() {
	b := a.budget
	if b == nil {
		return
	}
	b.lock.Lock()
	delete(b.blocked, a)
	b.lock.Unlock()
}

// Sweep reads the progress of all blocked answers, ends those that are unread for MaxUnread, and
// reports a change of the level. It is called a few times a second.
func (b *Budget) Sweep() {
	if !b.Active() {
		return
	}
	now := time.Now()
	b.lock.Lock()
	b.readProgress(now)
	for a := range b.blocked {
		if a.ended.Load() {
			continue
		}
		if b.MaxUnread > 0 && now.Sub(a.unreadSince) >= b.MaxUnread {
			b.end(a, now, true)
		}
	}
	b.flow.rate(now, b.freed.Load())
	level, changed := b.nextLevel()
	b.lock.Unlock()
	b.makeRoom(0, b.high())
	if changed && b.LevelChanged != nil {
		b.LevelChanged(level, b.Held())
	}
}

// nextLevel updates the reported level. The lock is held.
func (b *Budget) nextLevel() (level Level, changed bool) {
	held, high := b.held.Load(), b.high()
	switch {
	case b.level == Free && held >= high:
		b.level = High
	case b.level == High && float64(held) < freeShare*float64(high):
		b.level = Free
	default:
		return b.level, false
	}
	return b.level, true
}

// readProgress notes which blocked callers have read since the last reading. The lock is held.
func (b *Budget) readProgress(now time.Time) {
	b.progressAt = now
	for a := range b.blocked {
		if !a.ended.Load() {
			a.noteProgress(now)
		}
	}
}

// noteProgress notes whether the caller has read since the last reading. The lock is held.
func (a *Account) noteProgress(now time.Time) {
	if a.Progress == nil {
		return
	}
	if p := a.Progress(); p != a.lastProgress {
		a.lastProgress, a.unreadSince = p, now
	}
}

// makeRoom ends answers that were unread for HighGrace until the given bytes would fit below a mark, or
// none is left.
func (b *Budget) makeRoom(bytes, mark int64) {
	now := time.Now()
	b.lock.Lock()
	defer b.lock.Unlock()
	if now.Before(b.nextScan) {
		return
	}
	if now.Sub(b.progressAt) > maxProgressAge {
		b.readProgress(now)
	}
	for b.held.Load()+bytes-b.ending > mark {
		a := b.choose(now)
		if a == nil {
			b.nextScan = now.Add(scanInterval)
			return
		}
		// The last reading may be older than what the caller has read.
		if a.noteProgress(now); now.Sub(a.unreadSince) >= HighGrace {
			b.end(a, now, false)
		}
	}
}

// choose returns the blocked account to end: of the workspace that holds most among those with an
// account that is unread for HighGrace, the one that is unread for longest. It returns nil if
// there is none. The lock is held.
func (b *Budget) choose(now time.Time) *Account {
	var chosen *Account
	for a := range b.blocked {
		if a.ended.Load() || now.Sub(a.unreadSince) < HighGrace {
			continue
		}
		if chosen == nil || a.before(chosen) {
			chosen = a
		}
	}
	return chosen
}

// before reports whether a is ended before other. Accounts of equal workspaces and times are ended
// in no particular order.
func (a *Account) before(other *Account) bool {
	if a.tally != other.tally {
		x, y := a.tally.live(), other.tally.live()
		return x > y || x == y && a.tally.name < other.tally.name
	}
	return a.unreadSince.Before(other.unreadSince)
}

// live returns what a workspace holds without its accounts that were ended. The lock is held.
func (t *tally) live() int64 { return t.held.Load() - t.ending }

// end ends an account. The lock is held.
func (b *Budget) end(a *Account, now time.Time, expired bool) {
	a.ended.Store(true)
	a.endingBytes = a.held.Load()
	b.ending += a.endingBytes
	a.tally.ending += a.endingBytes
	a.End(Decision{
		Held: b.held.Load(), Bound: b.Bound, Workspace: a.tally.name, WorkspaceHeld: a.tally.held.Load(),
		Released: a.endingBytes, Unread: now.Sub(a.unreadSince), Expired: expired,
	})
}
