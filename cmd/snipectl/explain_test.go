package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// evictionLog is the log of a request that was refused after its adapter was evicted.
const evictionLog = `{"time":"2026-03-01T10:00:01.500Z","Instance":"i3","Event":510,"Name":"OrderGiven","Action":"Unload","Adapter":"a5","Engine":"u1"}
{"time":"2026-03-01T10:00:02.000Z","Instance":"i1","Event":211,"Name":"RequestRefused","Request":"q1","Status":503,"Milliseconds":9,"Adapter":"a5","Tried":["u1"],"Error":"status 421"}
`

// TestExplain guards against a wrong or missing cause for a request identifier,
// with logs from files and from standard input.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "i1.log")
	must.NoError(t, os.WriteFile(file, []byte(evictionLog), 0o600))
	tests := map[string]struct {
		line []string
		in   string
		code int
		want []string
	}{
		"File":    {[]string{"explain", "q1", file}, "", 0, []string{"AdapterEvicted", "RequestRefused, status 503", `"Action":"Unload"`}},
		"Input":   {[]string{"explain", "q1"}, evictionLog, 0, []string{"AdapterEvicted"}},
		"JSON":    {[]string{"-json", "explain", "q1", file}, "", 0, []string{`"Kind": "AdapterEvicted"`}},
		"All":     {[]string{"explain", "-all", "q1", file}, "", 0, []string{"AdapterEvicted", "OrderGiven"}},
		"Foreign": {[]string{"explain", "q1"}, "panic: x\n" + evictionLog, 0, []string{"AdapterEvicted", "1 lines are none"}},
		"Unknown": {[]string{"explain", "q2", file}, "", exitFailed, []string{"no line of this request"}},
		"NoFile":  {[]string{"explain", "q1", file + "x"}, "", exitFailed, []string{"no such file"}},
		"NoID":    {[]string{"explain"}, "", exitUsage, []string{"identifier"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out, messages bytes.Buffer
			code := runLine(t.Context(), tt.line, strings.NewReader(tt.in), &out, &messages)
			must.Eq(t, tt.code, code)
			for _, want := range tt.want {
				must.StrContains(t, out.String()+messages.String(), want)
			}
		})
	}
}
