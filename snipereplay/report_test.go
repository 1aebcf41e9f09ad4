package snipereplay_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipereplay"
)

// results returns 100 answered calls, which took 1 to 100 times unit, and one call
// each that was refused as stated, was refused otherwise, and has a breach.
func results(unit time.Duration) []snipereplay.Result {
	var all []snipereplay.Result
	for n := range 100 {
		d := time.Duration(n+1) * unit
		all = append(all, snipereplay.Result{Record: whole, Answered: true, Duration: d, FirstChunk: d / 2})
	}
	return append(all,
		snipereplay.Result{Record: unknown, Refused: "UnknownAdapter"},
		snipereplay.Result{Record: whole, Refused: "Overloaded"},
		snipereplay.Result{Record: keyed, Refused: "Broken", Breaches: []string{"executed 2 times"}},
	)
}

// TestReport guards against a report that miscounts the outcomes of calls, or leaves out a breach.
func TestReport(t *testing.T) {
	p := snipereplay.NewReport(results(time.Millisecond))
	must.Eq(t, [5]int{103, 100, 1, 2, 1}, [5]int{p.Calls, p.Answered, p.Stated, p.Refused, p.Breaches})
	var out strings.Builder
	must.NoError(t, p.Write(&out))
	must.StrContains(t, out.String(), "t          Status       100 |    25.5ms      48ms      50ms   |      51ms      96ms     100ms     100ms")
	must.StrContains(t, out.String(), "final failure Overloaded: 1")
	must.StrContains(t, out.String(), `BREACH team t model  service s key "k" prompt "p": executed 2 times`)
}

// TestPlots guards against plots with a wrong scale, and against a failure for a run without answers.
func TestPlots(t *testing.T) {
	p := snipereplay.NewReport(results(time.Millisecond))
	var text, svg strings.Builder
	must.NoError(t, p.WritePlot(&text))
	must.StrContains(t, text.String(), "P50   "+strings.Repeat("#", 20))
	must.NoError(t, p.WriteSVG(&svg))
	must.StrContains(t, svg.String(), "640,0.0 ")
	// A run without an answer has an empty plot.
	empty := snipereplay.NewReport(nil)
	must.NoError(t, empty.WritePlot(&text))
	must.NoError(t, empty.WriteSVG(&svg))
}

// TestComparison guards against reports that lose their figures when they are
// encoded as JSON and compared after decoding.
func TestComparison(t *testing.T) {
	var reports [2]snipereplay.Report
	for n, unit := range []time.Duration{time.Millisecond, 2 * time.Millisecond} {
		data, err := json.Marshal(snipereplay.NewReport(results(unit)))
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(data, &reports[n]))
	}
	var out strings.Builder
	must.NoError(t, snipereplay.WriteComparison(&out, &reports[0], &reports[1]))
	must.StrContains(t, out.String(), "51ms        102ms    2.00")
	must.StrContains(t, out.String(), "breaches: 1 and 1")
}
