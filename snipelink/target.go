package snipelink

import (
	"bytes"
	"net/http"
	"strings"
)

// writeRequest writes a request with URL.Opaque as its target, byte for byte. net/http takes a target that begins with two
// slashes for an authority and writes the scheme before it, which makes it another target.
func writeRequest(b *bytes.Buffer, r *http.Request) error {
	target := r.URL.Opaque
	extra := len(target) - len(strings.TrimLeft(target, "/")) - 1
	if extra <= 0 {
		return r.Write(b)
	}
	u, q := *r.URL, *r
	u.Opaque = target[extra:]
	q.URL = &u
	if err := q.Write(b); err != nil {
		return err
	}
	insert(b, len(r.Method)+len(" "), target[:extra])
	return nil
}

// insert inserts text into a buffer, at the given position.
func insert(b *bytes.Buffer, at int, text string) {
	b.WriteString(text)
	data := b.Bytes()
	copy(data[at+len(text):], data[at:len(data)-len(text)])
	copy(data[at:], text)
}
