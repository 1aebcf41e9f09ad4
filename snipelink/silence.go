package snipelink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// resetInterval is the time between two attempts to reset a connection at an upstream that is silent. It decides how long
	// the upstream works on after it can be reached again.
	resetInterval = 200 * time.Millisecond
	// maxResetTime bounds the attempts for a request without a deadline.
	maxResetTime = 15 * time.Second
	// maxResets bounds the connections that are to be reset, over all upstreams, and maxResetsAtOnce those of one upstream
	// that are reset at a time.
	maxResets       = 4096
	maxResetsAtOnce = 32
)

// silenceError is the error of a request whose connection the kernel has ended by a timeout. It is ErrSilent, and what its
// reason is.
type silenceError struct {
	reason error
	reset  *reset
}

// Error implements error.
func (e *silenceError) Error() string { return ErrSilent.Error() + ": " + e.reason.Error() }

// Is implements the interface of errors.Is.
func (e *silenceError) Is(target error) bool { return target == ErrSilent }

// Unwrap returns the reason.
func (e *silenceError) Unwrap() error { return e.reason }

// WaitReset waits until the upstream has lost the connection of a request that ended with err, which is ErrSilent, for d at
// most. It reports false if the upstream may still hold the connection, and work on the request, then.
func WaitReset(ctx context.Context, err error, d time.Duration) bool {
	var silence *silenceError
	if !errors.As(err, &silence) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-silence.reset.done:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// reset is a connection that has ended here and that an upstream may still hold.
type reset struct {
	local, remote netip.AddrPort
	// until is when the upstream ends the request by itself.
	until time.Time
	// done is closed once the upstream does not hold the connection.
	done chan struct{}
}

// resets has upstreams that were silent reset the connections that they still hold: the reset that the kernel sends as it
// ends a connection is lost in the silence, and an upstream that has nothing to send would not learn of the end.
//
// A connection is opened from the same port again. An upstream that holds the earlier one answers with an acknowledgement
// that belongs to it, and the kernel answers that with a reset (RFC 9293, section 3.5.1). A connection that is opened
// or refused shows that the upstream does not hold the earlier one.
//
// The zero value is ready to use. It is safe for concurrent use.
type resets struct {
	lock  sync.Mutex // guards the fields below
	count int
	// pending holds the connections to reset, by upstream. A goroutine runs for each upstream.
	pending map[netip.AddrPort][]*reset
}

// begin begins to reset a connection, of which c is the end here, until the given time.
func (s *resets) begin(c net.Conn, remote netip.AddrPort, until time.Time) *reset {
	r := &reset{remote: remote, until: until, done: make(chan struct{})}
	local, ok := c.LocalAddr().(*net.TCPAddr)
	if !ok {
		return r
	}
	r.local = local.AddrPort()
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.count >= maxResets {
		return r
	}
	if s.pending == nil {
		s.pending = make(map[netip.AddrPort][]*reset)
	}
	s.count++
	s.pending[remote] = append(s.pending[remote], r)
	if len(s.pending[remote]) == 1 {
		go s.run(remote)
	}
	return r
}

// run resets the connections to an upstream until there is none left. While the upstream is silent, it tries one only.
func (s *resets) run(remote netip.AddrPort) {
	for {
		next := time.Now().Add(resetInterval)
		all := s.atUpstream(remote)
		if len(all) == 0 {
			return
		}
		if all[0].try() {
			tryAll(all[1:])
		}
		time.Sleep(time.Until(next))
	}
}

// tryAll tries to reset connections, several at a time.
func tryAll(all []*reset) {
	var running sync.WaitGroup
	free := make(chan struct{}, maxResetsAtOnce)
	for _, r := range all {
		free <- struct{}{}
		running.Go(func() {
			r.try()
			<-free
		})
	}
	running.Wait()
}

// atUpstream forgets the connections that are reset, or of no interest any more, and returns the others of an upstream.
func (s *resets) atUpstream(remote netip.AddrPort) []*reset {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	var left []*reset
	for _, r := range s.pending[remote] {
		if !r.isDone() && now.Before(r.until) {
			left = append(left, r)
		}
	}
	s.count -= len(s.pending[remote]) - len(left)
	if s.pending[remote] = left; len(left) == 0 {
		delete(s.pending, remote)
	}
	return left
}

func (r *reset) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// try tries to reset the connection, and reports whether the upstream does not hold it.
func (r *reset) try() bool {
	ctx, cancel := context.WithTimeout(context.Background(), resetInterval)
	defer cancel()
	conn, err := dialFrom(ctx, r.local, r.remote)
	if err == nil {
		_ = conn.Close()
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	close(r.done)
	return true
}
