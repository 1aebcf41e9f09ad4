package snipegateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipepressure"
)

const (
	// RequestBytes is what a request holds beside its body and its answer: the buffers and the
	// goroutine of the caller's connection, those of the connection to an upstream, and the headers
	// twice, garbage included.
	RequestBytes = 60 << 10
	// bodyCopies is how often a body is in memory while it is sent to an upstream: once for another
	// attempt, and once in the message that snipelink writes.
	bodyCopies = 2
	// headCopies is how often a request's head is in memory: in the header that was read, that of the request and that of an
	// attempt. fieldBytes is what a line of some bytes takes beside them in all copies: 320 bytes in maps and slices, and
	// what these leave while they grow.
	headCopies = 3
	fieldBytes = 400
	// freeHeadBytes of a head are part of RequestBytes. Usual heads have some tens of lines and one or two kilobytes.
	freeHeadBytes = 16 << 10
)

// HeadBytes returns what a request's head takes beyond RequestBytes.
func HeadBytes(bytes, lines int64) int64 {
	return max(0, headCopies*bytes+fieldBytes*lines-freeHeadBytes)
}

// errNoRoom is returned if the instance must not hold more bytes.
var errNoRoom = errors.New("no room")

// pressure is what a request holds of the instance's memory, and how it was refused or ended.
type pressure struct {
	snipepressure.Account
	// cancel ends the exchange with the upstream. It is set before the account is first blocked.
	cancel context.CancelFunc
	// decision is the ending of the account. It is read after Unblock only.
	decision snipepressure.Decision
	// delivery writes the present answer; nil if there is no bound or no answer.
	delivery *delivery
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// WithConnection returns a context for the requests of a caller's connection, for
// http.Server.ConnContext. It lets the gateway see how much the caller has read, and reset the connection of
// an answer that is not whole.
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	for {
		w, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = w.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, conn)
}

// openAccount counts the request's body and what it holds otherwise. At the bound it refuses the
// request, before any of the body is read.
func (c *call) openAccount() error {
	b := c.gateway.Pressure
	if !b.Active() {
		return nil
	}
	bytes := RequestBytes + c.headBytes() + c.gateway.SocketBytes
	if n := c.request.ContentLength; n > 0 && (c.catalog.Limits.BodyBytes <= 0 || n <= c.catalog.Limits.BodyBytes) {
		if n > b.Bound/(2*bodyCopies) {
			return snipeerror.New(snipeerror.ErrTooLarge, snipeerror.NotRun, "the body is too large for this instance")
		}
		bytes += bodyCopies * n
	}
	err := b.Open(&c.pressure.Account, c.workspaceName(), bytes)
	var full *snipepressure.FullError
	if errors.As(err, &full) {
		return c.refuseForMemory(full)
	}
	return nil
}

// headBytes returns what the request's head takes beyond RequestBytes.
func (c *call) headBytes() int64 {
	bytes, lines := len(c.request.RequestURI), 1
	for name, values := range c.request.Header {
		lines += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return HeadBytes(int64(bytes), int64(lines))
}

// refuseForMemory returns the refusal of a request that does not fit, and logs its inputs.
func (c *call) refuseForMemory(f *snipepressure.FullError) error {
	g := c.gateway
	// The jitter prevents callers that are refused together from returning together.
	wait := f.RetryAfter + time.Duration(c.jitter()*float64(f.RetryAfter)/2)
	if c.request.ContentLength != 0 {
		c.writer.Header().Set("Connection", "close") // the body was not read
	}
	g.Meter.Count("snipepitch_memory_refusals_total{workspace=" + g.workspaceLabels.label(c.workspaceName()) + "}")
	g.Log.Log(snipelog.RefusedForMemory, snipelog.Fields{
		requestField: c.ID, "Held": f.Held, "Bound": f.Bound, "Workspace": c.workspaceName(), "WorkspaceHeld": f.WorkspaceHeld,
		"Wanted": f.Wanted, "FreedPerSecond": int64(f.FreedPerSecond), "RetryMilliseconds": wait.Milliseconds(),
	})
	return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, snipepressure.ErrFull.Error()).After(wait)
}

// end ends the request while its write is blocked. It implements snipepressure.Account.End.
func (c *call) end(d snipepressure.Decision) {
	c.pressure.decision = d
	c.pressure.cancel()
	if t, ok := c.connection().(*net.TCPConn); ok {
		// Otherwise the kernel holds what was not sent for minutes after the connection is closed.
		_ = t.SetLinger(0)
	}
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Unix(1, 0))
}

func (c *call) connection() net.Conn {
	conn, _ := c.request.Context().Value(connectionKey{}).(net.Conn)
	return conn
}

// readByCaller returns the bytes that the caller's kernel has acknowledged. The caller's kernel takes
// no more than its buffer holds, so a figure that grows shows that the caller reads.
func (c *call) readByCaller() uint64 {
	t, ok := c.connection().(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	acked := uint64(0)
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = info.Bytes_acked
		}
	})
	return acked
}

// endedError returns the error of a request that was ended under pressure and logs its inputs; any
// other request's error is returned as it is.
func (c *call) endedError(err error) error {
	if !c.pressure.Ended() {
		return err
	}
	g, d := c.gateway, c.pressure.decision
	reason := "Pressure"
	if d.Expired {
		reason = "Unread"
	}
	g.Meter.Count("snipepitch_answers_ended_total{workspace=" + g.workspaceLabels.label(d.Workspace) + `,reason="` + reason + `"}`)
	g.Log.Log(snipelog.AnswerEnded, snipelog.Fields{
		requestField: c.ID, "Held": d.Held, "Bound": d.Bound, "Workspace": d.Workspace, "WorkspaceHeld": d.WorkspaceHeld,
		"Released": d.Released, "UnreadMilliseconds": d.Unread.Milliseconds(), "Reason": reason,
	})
	text := fmt.Sprintf("the caller had read nothing for %d ms", d.Unread.Milliseconds())
	if !d.Expired {
		text += " and the instance holds as many bytes as it may"
	}
	return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, text)
}

// readAllBody reads a request's body, whose bytes are counted already if its length is stated. It
// returns errNoRoom if the instance must not hold more of it.
func (c *call) readAllBody(body io.Reader) ([]byte, error) {
	a := &c.pressure.Account
	switch n := c.request.ContentLength; {
	case !a.Active():
		return io.ReadAll(body)
	case n > 0:
		data := make([]byte, n)
		_, err := io.ReadFull(body, data)
		return data, err
	default:
		return readCounted(body, minReadSize, func(bytes int64) bool { return a.GrowBody(bodyCopies * bytes) },
			func(bytes int64) { a.Release(bodyCopies * bytes) })
	}
}

// readAnswer reads an answer up to maxBuffered. It returns errNoRoom, and what it has read, if the
// instance must not hold more of it.
func (c *call) readAnswer(answer io.Reader, length int64) ([]byte, error) {
	a := &c.pressure.Account
	if !a.Active() {
		return io.ReadAll(io.LimitReader(answer, maxBuffered))
	}
	size := int64(minReadSize)
	if length >= minReadSize {
		size = min(length, maxBuffered) + 1 // one more, so that the end is read without growth
	}
	return readCounted(io.LimitReader(answer, maxBuffered), size, a.GrowAhead, a.Release)
}

// minReadSize is the size of the first buffer for data of unknown length. It is part of RequestBytes.
const minReadSize = 4 << 10

// readCounted reads to the end. It counts the buffer, which begins with the given size, before it
// allocates it, beyond minReadSize.
func readCounted(r io.Reader, size int64, grow func(int64) bool, release func(int64)) ([]byte, error) {
	if size > minReadSize && !grow(size-minReadSize) {
		size = minReadSize
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			old := int64(cap(data))
			if !grow(2 * old) { // both buffers are held while the data is copied
				return data, errNoRoom
			}
			data = append(make([]byte, 0, 2*old), data...)
			release(old)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}
