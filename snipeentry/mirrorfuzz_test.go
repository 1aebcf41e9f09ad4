package snipeentry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

// decodedText returns a text as it is after it was decoded from the store's JSON.
func decodedText(t *testing.T, text string) string {
	data, err := json.Marshal(text)
	must.NoError(t, err)
	var decoded string
	must.NoError(t, json.Unmarshal(data, &decoded))
	return decoded
}

// passOnRows passes rows from one instance to another, as a message of few rows and as a compressed one of many, and returns
// the rows that arrive.
func passOnRows(t *testing.T, rows []snipemirror.Row) [][]snipemirror.Row {
	packed, err := packRows(rows)
	must.NoError(t, err)
	var arrived [][]snipemirror.Row
	for _, m := range []*snipeproto.MirrorWatchResponse{
		encodePage(snipemirror.Page{Position: 9, Complete: true, Rows: rows}, nil, time.Now()),
		encodePage(snipemirror.Page{Position: 9, Complete: true}, packed, time.Now()),
	} {
		data, err := proto.Marshal(m)
		must.NoError(t, err)
		var received snipeproto.MirrorWatchResponse
		must.NoError(t, proto.Unmarshal(data, &received))
		page, err := decodePage(&received, time.Now())
		must.NoError(t, err)
		arrived = append(arrived, snipemirror.New().Apply(page))
	}
	return arrived
}

// FuzzMirrorRow checks that whatever row of another writer stands beside it, a sound row is passed on from instance to
// instance.
func FuzzMirrorRow(f *testing.F) {
	f.Add("odd", []byte("{"), uint64(1), false)
	f.Add("\xff\xfe", []byte{}, uint64(0), true)
	f.Add("e1\r\nX: y\x00", []byte("\x00\xff"), ^uint64(0), false)
	f.Fuzz(func(t *testing.T, key string, value []byte, version uint64, removed bool) {
		key = decodedText(t, key)
		if key == "i-1" {
			return
		}
		sound := snipemirror.Row{Key: "i-1", Value: []byte("{}"), Version: 7}
		odd := snipemirror.Row{Key: key, Value: value, Version: version, Removed: removed}
		for _, rows := range passOnRows(t, []snipemirror.Row{odd, sound}) {
			must.SliceContainsFunc(t, rows, sound, func(a, b snipemirror.Row) bool {
				return a.Key == b.Key && string(a.Value) == string(b.Value) && a.Version == b.Version && !a.Removed
			})
		}
	})
}

// FuzzMirrorMessage checks that a message of any bytes is refused, or holds rows that a copy can take.
func FuzzMirrorMessage(f *testing.F) {
	sound, err := proto.Marshal(encodePage(snipemirror.Page{Position: 1, Rows: []snipemirror.Row{{Key: "a", Version: 1}}}, nil, time.Now()))
	must.NoError(f, err)
	packed, err := packRows([]snipemirror.Row{{Key: "a", Version: 1}})
	must.NoError(f, err)
	whole, err := proto.Marshal(&snipeproto.MirrorWatchResponse{Whole: true, Position: 1, Packed: packed})
	must.NoError(f, err)
	for _, data := range [][]byte{sound, whole, whole[:len(whole)-1], nil, []byte("{")} {
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m snipeproto.MirrorWatchResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		page, err := decodePage(&m, time.Now())
		if err != nil {
			return
		}
		copied := snipemirror.New()
		copied.Apply(page)
		_ = copied.Age()
	})
}
