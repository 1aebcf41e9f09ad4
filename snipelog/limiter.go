package snipelog

import (
	"sync"
	"time"
)

// maxLines is the most lines of a second that a Limiter admits.
const maxLines = 10

// Limiter bounds the lines a second that are logged about one matter. The zero value is ready to use; it is safe for
// concurrent use.
type Limiter struct {
	lock sync.Mutex // guards the fields below
	// second is the second that lines are counted in, lines their number, and suppressed the number
	// of lines left out since the last one.
	second            int64
	lines, suppressed int
}

// Admit reports whether a line may be logged now, and how many were left out before it.
func (l *Limiter) Admit(now time.Time) (suppressed int, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
	}
	if l.lines >= maxLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}
