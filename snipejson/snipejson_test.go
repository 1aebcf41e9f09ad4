package snipejson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

type document struct {
	Name    string
	Timeout Duration
	Inner   *document
	Names   map[string]int
}

// FuzzDecode checks that an accepted text is one JSON document, and that the decoded value encodes
// to a document that is accepted again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"Name":"a","Name":"b"}`, `{"Names":{"a":1,"a":2}}`, `{"Other":1}`, `{} {}`, `{"Timeout":"5s"}`, `{"Timeout":5}`,
		`{"name":"a","Name":"b"}`, strings.Repeat(`{"Inner":`, 100) + "null" + strings.Repeat("}", 100), strings.Repeat("[", 100000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d document
		if Decode(data, &d) != nil {
			return
		}
		must.True(t, json.Valid(data))
		again, err := json.Marshal(d)
		must.NoError(t, err)
		must.NoError(t, Decode(again, &document{}))
	})
}

// FuzzDepth checks that Depth accepts any text, and that its result for a JSON text equals the
// depth of the decoded value. A lower result would let a recursive decoder overflow its stack.
func FuzzDepth(f *testing.F) {
	for _, seed := range []string{`{}`, `[[1],{"a":["]"]}]`, `"\"["`, `"`, `"\`, `]]][`, strings.Repeat("[", 1000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got := Depth(data)
		if !json.Valid(data) {
			return
		}
		// UseNumber, since a number that overflows float64 is JSON too.
		var v any
		d := json.NewDecoder(bytes.NewReader(data))
		d.UseNumber()
		must.NoError(t, d.Decode(&v))
		must.Eq(t, depth(v), got)
	})
}

func depth(v any) int {
	deepest := 0
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			deepest = max(deepest, depth(e))
		}
	case map[string]any:
		for _, e := range v {
			deepest = max(deepest, depth(e))
		}
	default:
		return 0
	}
	return deepest + 1
}

// TestErrorsNameField checks that the error of a rejected document contains what an operator
// needs to find the fault: the path of the field, or the rule that was violated.
func TestErrorsNameField(t *testing.T) {
	cases := map[string]struct{ data, want string }{
		"unknown field":      {`{"Title":"a"}`, "Title"},
		"duplicate":          {`{"Inner":{"Name":"a","Name":"b"}}`, "Inner.Name"},
		"duplicate by case":  {`{"Name":"a","name":"b"}`, "name"},
		"trailing":           {`{} x`, "after the document"},
		"bad duration":       {`{"Timeout":"5"}`, "duration"},
		"nested too deeply":  {strings.Repeat(`{"Inner":`, 100) + "null" + strings.Repeat("}", 100), "nested too deeply"},
		"document cut short": {`{"Name":`, "Name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := Decode([]byte(c.data), &document{})
			must.Error(t, err)
			must.StrContains(t, err.Error(), c.want)
		})
	}
}
