package snipestand

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// AnswerCopies tells which answers a runner sends twice: the second time ahead of the answer to the next request of the
// same connection. Answers to requests without an identifier are sent once, and so are those that end with their connection.
type AnswerCopies struct {
	// Statuses are the statuses of these answers.
	Statuses []int
	// InPieces sends the second one in two pieces, pieceGap apart.
	InPieces bool
}

// pieceGap is the time between the two pieces of a copy.
const pieceGap = 5 * time.Millisecond

// SetCopies sets which answers the runner sends twice. Its server needs ConnContext.
func (r *Runner) SetCopies(c AnswerCopies) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.copies = c
}

// Copied returns the number of answers that were sent a second time.
func (r *Runner) Copied() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.copied
}

// connectionKey is the key of a servedConnection in the context of its requests.
type connectionKey struct{}

// servedConnection is a connection of a runner, and the copy that is due on it.
type servedConnection struct {
	net.Conn
	copy []byte
}

// ConnContext is the http.Server.ConnContext of a runner that sends answers twice.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &servedConnection{Conn: c})
}

// sendCopy sends the copy that is due on the connection of a request.
func (r *Runner) sendCopy(q *http.Request) {
	c, known := q.Context().Value(connectionKey{}).(*servedConnection)
	if !known || c.copy == nil {
		return
	}
	data := c.copy
	c.copy = nil
	r.lock.Lock()
	r.copied++
	inPieces := r.copies.InPieces
	r.lock.Unlock()
	if inPieces {
		half := len(data) / 2
		if _, err := c.Write(data[:half]); err != nil {
			return // the answer that follows fails too
		}
		time.Sleep(pieceGap)
		data = data[half:]
	}
	_, _ = c.Write(data)
}

// copyingWriter keeps what is written to an answer.
type copyingWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// Unwrap serves http.ResponseController.
func (w *copyingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *copyingWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *copyingWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	w.body.Write(p)
	return w.ResponseWriter.Write(p)
}

// keepCopy keeps an answer that has been written, if it is one to send twice.
func (r *Runner) keepCopy(w *copyingWriter, q *http.Request) {
	c, known := q.Context().Value(connectionKey{}).(*servedConnection)
	r.lock.Lock()
	wanted := slices.Contains(r.copies.Statuses, w.status)
	r.lock.Unlock()
	h := w.Header().Clone()
	if !known || !wanted || h.Get("X-Snipepitch-Attempt-Id") == "" || h.Get("Transfer-Encoding") != "" {
		return
	}
	h.Set("Content-Length", strconv.Itoa(w.body.Len()))
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	_ = h.Write(&b) // a bytes.Buffer takes all
	b.WriteString("\r\n")
	b.Write(w.body.Bytes())
	c.copy = b.Bytes()
}
