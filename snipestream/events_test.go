package snipestream_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestream"
)

// TestWholeEvents guards against an event whose end is not found, or found inside it, and against a torn
// event that counts as whole.
func TestWholeEvents(t *testing.T) {
	tests := map[string]struct {
		data  string
		whole int
		torn  bool // what follows the whole events
	}{
		"Nothing":         {"", 0, false},
		"LF":              {"data: a\n\n", 9, false},
		"CRLF":            {"data: a\r\n\r\n", 11, false},
		"CR":              {"data: a\r\r", 9, false},
		"Mixed":           {"data: a\r\n\ndata: b\n\r\n", 20, false},
		"Two":             {"data: a\n\ndata: b\n\n", 18, false},
		"TornLine":        {"data: a\n\ndata", 9, true},
		"TornEvent":       {"data: a\n\ndata: b\n", 9, true},
		"TornEventCRLF":   {"data: a\r\n\r\ndata: b\r\n", 11, true},
		"TornInCRLF":      {"data: a\r\n\r\ndata: b\r", 11, true},
		"OneLineEnd":      {"data: a\n", 0, true},
		"OneCRLF":         {"data: a\r\n", 0, true},
		"BlankLineFirst":  {"\ndata: a", 1, true},
		"LFOfCRLF":        {"\n", 1, false},
		"CommentTorn":     {": keep", 0, true},
		"Comment":         {": keep\n\n", 8, false},
		"LineEndsInEvent": {"data: a\ndata: b\n\n", 17, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			whole := snipestream.WholeEvents([]byte(tt.data), 0)
			must.Eq(t, tt.whole, whole)
			must.Eq(t, tt.torn, snipestream.IsTorn([]byte(tt.data[whole:])))
			for known := range tt.data {
				if snipestream.WholeEvents([]byte(tt.data[:known]), 0) == 0 {
					must.Eq(t, tt.whole, snipestream.WholeEvents([]byte(tt.data), known))
				}
			}
		})
	}
}

// TestSummarize guards against resuming a stream at an event that the caller has, or has not.
func TestSummarize(t *testing.T) {
	tests := map[string]struct {
		events string
		want   snipestream.Summary
	}{
		"Nothing":        {"", snipestream.Summary{}},
		"One":            {"id: 1\ndata: a\n\n", snipestream.Summary{Count: 1, FirstID: "1", LastID: "1"}},
		"CRLF":           {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", snipestream.Summary{Count: 2, FirstID: "1", LastID: "2"}},
		"CR":             {"id: 1\rdata: a\r\rid:2\rdata: b\r\r", snipestream.Summary{Count: 2, FirstID: "1", LastID: "2"}},
		"ByteOrderMark":  {"\ufeffid: 1\ndata: a\n\n", snipestream.Summary{Count: 1, FirstID: "1", LastID: "1"}},
		"Comments":       {": a\n\nid: 4\ndata: b\n\n: c\n\n", snipestream.Summary{Count: 1, FirstID: "4", LastID: "4"}},
		"IDLast":         {"data: a\nid: 4\n\n", snipestream.Summary{Count: 1, FirstID: "4", LastID: "4"}},
		"IDInData":       {"data: x\nxid: 4\ndata: id: 3\n\n", snipestream.Summary{Count: 1, Unnumbered: true}},
		"NoID":           {"data: a\n\n", snipestream.Summary{Count: 1, Unnumbered: true}},
		"NoIDAfterID":    {"id: 1\ndata: a\n\ndata: b\n\n", snipestream.Summary{Count: 2, FirstID: "1", LastID: "1", Unnumbered: true}},
		"IDAfterNoID":    {"data: a\n\nid: 2\ndata: b\n\n", snipestream.Summary{Count: 2, FirstID: "2", LastID: "2"}},
		"SpecificFields": {"version: 3\nid: 2\ndata: b\n\n", snipestream.Summary{Count: 1, FirstID: "2", LastID: "2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tt.want, snipestream.Summarize([]byte(tt.events)))
		})
	}
}
