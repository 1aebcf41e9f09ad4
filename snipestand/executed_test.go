package snipestand_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// TestExecutedSurvivesRestart checks that the record of executions survives a restart of the
// emulator. Otherwise a check for repeated executions would miss a call that ran once before a kill
// and once after it.
func TestExecutedSurvivesRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record")
	for range 2 {
		var x snipestand.Executed
		must.NoError(t, x.Open(file))
		must.NoError(t, x.Add(snipestand.Execution{Request: "r", Key: "k", Body: "b"}))
	}
	var x snipestand.Executed
	must.NoError(t, x.Open(file))
	w := httptest.NewRecorder()
	x.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/Executed", nil))
	var list snipestand.ExecutedList
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &list))
	must.SliceLen(t, 2, list.Executions)
	must.Eq(t, 0, list.Dropped)
}
