package snipeentry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipequarantine"
)

const (
	// maxBroken bounds the broken answers of one upstream that wait for evidence. An upstream accepts
	// a few hundred requests at once from all instances together.
	maxBroken = 512
	// maxBrokenParts bounds the parts of prompts of all of them; of further ones the parts are not counted.
	maxBrokenParts = 131072
	// maxLoggedParts bounds the parts of a prompt that a line of the log names.
	maxLoggedParts = 16
	// endedRetention is how long an upstream is remembered as ended. Broken answers are noticed within
	// seconds of the end.
	endedRetention = time.Minute
	// replacedTime is the longest time between a broken answer and the next start of its upstream at
	// which the upstream counts as crashed. Upstreams are back after some seconds.
	replacedTime = 10 * time.Second
	// closeWait is how long a new connection is watched for being closed by the other side.
	closeWait = 300 * time.Millisecond
)

// brokenAnswer is an answer that broke off or never began after the request was sent.
type brokenAnswer struct {
	upstream    *snipedirectory.Upstream
	fingerprint snipequarantine.Fingerprint
	request     string
	// parts are the parts of its prompt if its answer had not begun; nil otherwise.
	parts []snipequarantine.Fingerprint
	at    time.Time
}

// crashDetector finds out whether the upstream of a broken answer has ended. An answer also breaks off
// when a connection is reset, or when an upstream spoils it and goes on. An upstream has ended
//
//   - if its address refuses a connection right after that, or accepts one and closes it, as where
//     another process holds the socket. A reset is no evidence: an upstream resets connections that
//     are too many for it;
//   - if its start leaves the registry within ConfirmTime;
//   - if another start serves at its address within replacedTime, by the registry or by an answer.
//
// The end of an upstream that was leaving when the answer broke off is no crash.
//
// The evidence may come seconds after the crash. Two kinds of requests are therefore left out: those that
// were sent to an upstream after it had broken an answer and given none since, because it may have ended
// before they reached it, and those of a fingerprint that was answered after it broke.
//
// Exported fields are set before the first call. It is safe for concurrent use.
type crashDetector struct {
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Leaving reports whether an upstream is leaving or has left the registry.
	Leaving func(id string) bool
	// Crashed is called for each request that was running at an upstream that crashed.
	Crashed func(upstream string, f snipequarantine.Fingerprint)
	// PartsCrashed is called for each of them with parts of a prompt.
	PartsCrashed func(upstream string, text snipequarantine.Fingerprint, parts []snipequarantine.Fingerprint)
	ConfirmTime  time.Duration
	Log          *snipelog.Logger
	Meter        *snipemeter.Meter

	// waiting is the number of broken answers that wait for evidence.
	waiting atomic.Int64

	lock      sync.Mutex // guards the fields below
	upstreams map[string]*brokenUpstream
	// parts is the number of parts of prompts that the broken answers hold which wait for evidence.
	parts int
}

// brokenUpstream is one start of an upstream of which an answer has broken off.
type brokenUpstream struct {
	address netip.AddrPort
	broken  []brokenAnswer // those without evidence that the upstream has ended
	dialing bool
	// brokeAt is when the first answer broke since the upstream last answered.
	brokeAt time.Time
	endedAt time.Time // zero while there is no evidence that it has ended
}

// Broke records a broken answer to a request that was sent at the given time; parts are those of its prompt if
// its answer had not begun. It does not block.
func (d *crashDetector) Broke(u *snipedirectory.Upstream, f snipequarantine.Fingerprint, request string, sentAt time.Time, parts []snipequarantine.Fingerprint) {
	if d.Leaving(u.ID) {
		return
	}
	b := brokenAnswer{u, f, request, parts, time.Now()}
	d.lock.Lock()
	defer d.lock.Unlock()
	s := d.upstreams[u.ID]
	if s == nil {
		s = &brokenUpstream{address: u.Address}
		if d.upstreams == nil {
			d.upstreams = make(map[string]*brokenUpstream)
		}
		d.upstreams[u.ID] = s
	}
	if s.brokeAt.IsZero() {
		s.brokeAt = b.at
	}
	switch {
	case sentAt.After(s.brokeAt):
		// The upstream may have ended before the request reached it.
	case !s.endedAt.IsZero():
		go d.report([]brokenAnswer{b})
		return
	case len(s.broken) < maxBroken:
		d.wait(s, b)
	}
	if !s.dialing {
		s.dialing = true
		go d.dial(u)
	}
}

// wait adds a broken answer to those of an upstream that wait for evidence. The lock is held.
func (d *crashDetector) wait(s *brokenUpstream, b brokenAnswer) {
	if d.parts+len(b.parts) > maxBrokenParts {
		b.parts = nil
		d.Meter.Count("snipepitch_broken_prompts_left_out_total")
	}
	s.broken = append(s.broken, b)
	d.waiting.Add(1)
	d.parts += len(b.parts)
}

// dial records that the upstream has ended if its address refuses a connection or closes it at once.
func (d *crashDetector) dial(u *snipedirectory.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, u.Address)
	over := errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		over = closesAtOnce(conn)
		_ = conn.Close()
	}
	d.lock.Lock()
	if s := d.upstreams[u.ID]; s != nil {
		s.dialing = false
	}
	d.lock.Unlock()
	if over {
		d.ended(u.ID, "Connection", d.ConfirmTime)
	}
}

// closesAtOnce reports whether the other side closes a connection, without a reset, within closeWait.
func closesAtOnce(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(closeWait)) != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// Waiting reports whether any broken answer waits for evidence.
func (d *crashDetector) Waiting() bool { return d.waiting.Load() > 0 }

// Lives records that an upstream has begun to answer.
func (d *crashDetector) Lives(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if s := d.upstreams[id]; s != nil {
		s.brokeAt = time.Time{}
	}
}

// Answered records that a request of a fingerprint was answered: those that broke before are no longer
// reported.
func (d *crashDetector) Answered(f snipequarantine.Fingerprint) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, s := range d.upstreams {
		d.drop(s, func(b brokenAnswer) bool { return b.fingerprint == f })
	}
}

// drop removes broken answers of an upstream. The lock is held.
func (d *crashDetector) drop(s *brokenUpstream, which func(b brokenAnswer) bool) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenAnswer) bool {
		if !which(b) {
			return false
		}
		d.waiting.Add(-1)
		d.parts -= len(b.parts)
		return true
	})
}

// Gone records that the registry no longer lists a start of an upstream.
func (d *crashDetector) Gone(u *snipedirectory.Upstream) {
	if !u.Leaving {
		d.ended(u.ID, "Registry", d.ConfirmTime)
	}
}

// Appeared records that the registry lists a start of an upstream. It has replaced those at its address.
func (d *crashDetector) Appeared(u *snipedirectory.Upstream) {
	for _, id := range d.others(u) {
		d.ended(id, "Successor", replacedTime)
	}
}

// others returns the starts other than the given one that had its address and whose answers have broken
// off.
func (d *crashDetector) others(u *snipedirectory.Upstream) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	var ids []string
	for id, s := range d.upstreams {
		if s.address == u.Address && id != u.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// Replaced records that another upstream has answered at the address of an upstream.
func (d *crashDetector) Replaced(u *snipedirectory.Upstream) { d.ended(u.ID, "Answer", replacedTime) }

// ended records that an upstream has ended, and reports the answers that broke off within the given time
// before. It does nothing if no answer of the upstream has broken off.
func (d *crashDetector) ended(id, source string, within time.Duration) {
	now := time.Now()
	d.lock.Lock()
	s := d.upstreams[id]
	if s == nil || !s.endedAt.IsZero() {
		d.lock.Unlock()
		return
	}
	s.endedAt = now
	d.drop(s, func(b brokenAnswer) bool { return now.Sub(b.at) > within })
	broken := slices.Clone(s.broken)
	d.drop(s, func(brokenAnswer) bool { return true })
	d.lock.Unlock()
	if len(broken) == 0 {
		return
	}
	d.Meter.Count("snipepitch_upstream_crashes_total")
	d.Log.Log(snipelog.UpstreamCrashed, snipelog.Fields{
		upstreamField: id, "Address": broken[0].upstream.Address, "Requests": len(broken), sourceField: source,
	})
	go d.report(broken)
}

// report reports requests that were running at an upstream that has ended.
func (d *crashDetector) report(all []brokenAnswer) {
	for _, b := range all {
		d.Log.Log(snipelog.RequestBroke, snipelog.Fields{
			"Request": b.request, upstreamField: b.upstream.ID, fingerprintField: b.fingerprint.String(),
			"Parts": partNames(b.parts), "PartCount": len(b.parts),
		})
		d.Crashed(b.upstream.ID, b.fingerprint)
		if len(b.parts) > 0 {
			d.PartsCrashed(b.upstream.ID, b.fingerprint, b.parts)
		}
	}
}

// partNames returns the fingerprints of the last parts as they stand in logs.
func partNames(parts []snipequarantine.Fingerprint) []string {
	parts = parts[max(len(parts)-maxLoggedParts, 0):]
	names := make([]string, 0, len(parts))
	for _, f := range parts {
		names = append(names, f.String())
	}
	return names
}

// Sweep forgets the upstreams that have not ended within ConfirmTime and replacedTime, and those that ended
// longer than endedRetention ago.
func (d *crashDetector) Sweep() {
	now := time.Now()
	d.lock.Lock()
	defer d.lock.Unlock()
	for id, s := range d.upstreams {
		d.drop(s, func(b brokenAnswer) bool { return now.Sub(b.at) > max(d.ConfirmTime, replacedTime) })
		ended := !s.endedAt.IsZero()
		if ended && now.Sub(s.endedAt) > endedRetention || !ended && !s.dialing && len(s.broken) == 0 {
			delete(d.upstreams, id)
		}
	}
}
