package snipestream

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzReader checks that no input makes the reader panic, and that an event that was read is the
// same after it is written and read again.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1\nevent: Chunk\ndata: {}\n\n", "data: a\ndata: b\n\n", ": comment\n\n", "data\n\n", "id: x\n\n",
		"\r\n\r\ndata: a\r\n\r\n", "id: 18446744073709551616\n\n", "data: " + strings.Repeat("x", 5000) + "\n\n", "data: a",
		"event: a\rb\ndata: \r\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		r := NewReader(bytes.NewReader(input))
		for {
			e, err := r.Read()
			if err != nil {
				return
			}
			must.LessEq(t, MaxEvent+1, len(e.Data))
			again, err := NewReader(bytes.NewReader(Append(nil, e))).Read()
			must.NoError(t, err)
			must.Eq(t, e.ID, again.ID)
			must.Eq(t, e.Name, again.Name)
			must.Eq(t, string(e.Data), string(again.Data))
		}
	})
}

// TestReaderIsBounded checks that the memory of the reader is bounded. An upstream could otherwise
// exhaust the memory with one long line, or with many short ones in one event.
func TestReaderIsBounded(t *testing.T) {
	for name, input := range map[string]string{
		"long line":       "data: " + strings.Repeat("x", MaxEvent+8192) + "\n\n",
		"many lines":      strings.Repeat("data: xxxxxxxxxxxxxxx\n", MaxEvent/8) + "\n",
		"many bare lines": strings.Repeat("data\n", 2*MaxEvent) + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(input)).Read()
			must.ErrorIs(t, err, ErrTooLong)
		})
	}
}
