package snipestream

import "bytes"

var (
	byteOrderMark = []byte("\ufeff")
	lineEnds      = "\r\n"
)

// WholeEvents returns how many bytes of data are whole events, each with the blank line that ends it. Data
// begins between two events. Lines end with LF, CRLF or CR. The first known bytes of data are known to hold no whole event,
// so that an event that arrives in many parts is not searched again with each.
func WholeEvents(data []byte, known int) int {
	for end := len(data); end > known; {
		end = known + bytes.LastIndexAny(data[known:end], lineEnds) + 1
		if end > known && endsBlank(data[:end]) {
			return end
		}
		end--
	}
	return 0
}

// endsBlank reports whether the last line of data, which ends with a line end, is blank.
func endsBlank(data []byte) bool {
	line := data[:len(data)-1]
	if bytes.HasSuffix(data, []byte("\r\n")) {
		line = data[:len(data)-2]
	}
	return len(line) == 0 || isLineEnd(line[len(line)-1])
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }

// IsTorn reports whether rest, which follows a whole event, holds a part of another one. A line end alone
// does not: CR may have ended the event before the LF of the same line end arrived.
func IsTorn(rest []byte) bool { return len(bytes.Trim(rest, lineEnds)) > 0 }

// Summary describes a sequence of whole events.
type Summary struct {
	// Count is the number of events; blocks of comments alone are none.
	Count int
	// FirstID and LastID are the first and the last identifier; empty if no event has one.
	FirstID, LastID string
	// Unnumbered is set if an event without an identifier follows the last one that has one.
	Unnumbered bool
}

var (
	commentMark = []byte{':'}
	colon       = []byte{':'}
)

// Summarize describes whole events; see WholeEvents.
func Summarize(events []byte) Summary {
	var s Summary
	events = bytes.TrimPrefix(events, byteOrderMark)
	event, id := false, ""
	for len(events) > 0 {
		end := bytes.IndexAny(events, lineEnds)
		if end < 0 {
			break // not a whole event
		}
		line := events[:end]
		events = events[end+lineEndLength(events[end:]):]
		switch {
		case len(line) == 0:
			s.add(event, id)
			event, id = false, ""
		case !bytes.HasPrefix(line, commentMark):
			event = true
			if name, value, _ := bytes.Cut(line, colon); bytes.Equal(name, fieldID) {
				id = string(bytes.TrimSpace(value))
			}
		}
	}
	return s
}

// lineEndLength returns the length of the line end with which data begins.
func lineEndLength(data []byte) int {
	if bytes.HasPrefix(data, []byte("\r\n")) {
		return len("\r\n")
	}
	return 1
}

// add counts the event, if it is one, that a blank line has ended.
func (s *Summary) add(event bool, id string) {
	if !event {
		return
	}
	s.Count++
	if s.Unnumbered = id == ""; s.Unnumbered {
		return
	}
	if s.FirstID == "" {
		s.FirstID = id
	}
	s.LastID = id
}
