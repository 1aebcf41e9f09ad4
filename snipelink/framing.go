package snipelink

import "net/http"

// Framing is how the end of an answer's body is found (RFC 9112, section 6.3).
type Framing string

// The framings of an answer.
const (
	// FramedByLength stands for a body of a stated length, and for an answer that has no body.
	FramedByLength Framing = "Length"
	// FramedByChunks stands for a body in chunks, of which the last one is marked.
	FramedByChunks Framing = "Chunks"
	// FramedByClose stands for a body that ends when the upstream closes the connection. A body that was cut
	// off looks the same, unless the connection was reset.
	FramedByClose Framing = "Close"
)

// Framing returns how the end of the answer's body is found.
func (a *Answer) Framing() Framing { return framing(a.Response) }

func framing(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByClose
}
