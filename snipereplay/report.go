package snipereplay

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipejson"
)

// Group is one team and class.
type Group struct {
	Team, Class string
}

// Summary holds the quantiles of the times of one group's calls.
type Summary struct {
	Group
	// Calls is the number of answered calls.
	Calls int
	// First holds the times to the header of the first answer with status 200, Total
	// the times to the whole answer; see Result.
	First, Total Quantiles
}

// Quantiles holds the median, the 95th and 99th percentiles and the maximum of durations.
type Quantiles struct {
	Median, P95, P99, Max snipejson.Duration
}

// Report sums up the results of a replay. It is written as JSON, so that runs
// can be compared.
type Report struct {
	// Calls counts all calls. Answered, Stated and Refused count how they ended:
	// Stated those that were refused as the trace states or crash engines, Refused
	// all others without an answer. Breaches counts the breaches of all calls.
	Calls, Answered, Stated, Refused, Breaches int
	// Repeats is how many calls were sent more than once.
	Repeats int
	// Groups holds the times of answered calls by team and class.
	Groups []Summary
	// Codes counts the calls in Refused by the code of their final failure.
	Codes map[string]int
	// Broken describes the first maxBroken breaches.
	Broken []string `json:",omitempty"`

	// totals are the sorted times to the whole answer, over all groups.
	totals []time.Duration
}

// maxBroken bounds how many breaches a report describes.
const maxBroken = 20

// durations holds the times of one group: to the first bytes and to the whole answer.
type durations struct {
	first, total []time.Duration
}

// NewReport returns the report of the results.
func NewReport(results []Result) *Report {
	p := &Report{Codes: map[string]int{}}
	groups := map[Group]*durations{}
	for _, r := range results {
		p.count(r)
		if !r.Answered {
			continue
		}
		g := Group{r.Record.Team, r.Record.Class.String()}
		if groups[g] == nil {
			groups[g] = &durations{}
		}
		groups[g].first = append(groups[g].first, r.FirstChunk)
		groups[g].total = append(groups[g].total, r.Duration)
		p.totals = append(p.totals, r.Duration)
	}
	for g, d := range groups {
		p.Groups = append(p.Groups, Summary{Group: g, Calls: len(d.total), First: quantiles(d.first), Total: quantiles(d.total)})
	}
	slices.SortFunc(p.Groups, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	slices.Sort(p.totals)
	return p
}

func (p *Report) count(r Result) {
	p.Calls++
	switch {
	case r.Answered:
		p.Answered++
	case r.Record.Crashes, r.Record.Code != "" && r.Record.Code == r.Refused:
		p.Stated++
	default:
		p.Refused++
		p.Codes[r.Refused]++
	}
	if len(r.Tries) > 1 {
		p.Repeats++
	}
	for _, b := range r.Breaches {
		p.Breaches++
		if len(p.Broken) < maxBroken {
			c := r.Record
			p.Broken = append(p.Broken, fmt.Sprintf("team %s model %s service %s key %q prompt %q: %s; tries %v",
				c.Team, c.Model, c.Service, c.Key, c.Prompt, b, r.Tries))
		}
	}
}

// quantiles sorts d and returns its quantiles.
func quantiles(d []time.Duration) Quantiles {
	slices.Sort(d)
	at := func(q float64) snipejson.Duration {
		n := min(int(q*float64(len(d))), len(d)-1)
		return snipejson.Duration(d[n].Round(100 * time.Microsecond))
	}
	return Quantiles{Median: at(0.5), P95: at(0.95), P99: at(0.99), Max: at(1)}
}

// AnsweredShare returns the share of calls that count in Answered or Stated, from
// 0 to 1.
func (p *Report) AnsweredShare() float64 {
	return float64(p.Answered+p.Stated) / float64(max(p.Calls, 1))
}

// Write prints the report.
func (p *Report) Write(w io.Writer) error {
	out := &printer{writer: w}
	out.print("%-10s %-9s %6s | %-31s | %s\n", "", "", "", "First chunk", "Whole answer")
	out.print("%-10s %-9s %6s | %9s %9s %9s   | %9s %9s %9s %9s\n",
		"Team", "Class", "Calls", "Median", "P95", "P99", "Median", "P95", "P99", "Max")
	for _, g := range p.Groups {
		out.print("%-10s %-9s %6d | %9s %9s %9s   | %9s %9s %9s %9s\n", g.Team, g.Class, g.Calls,
			g.First.Median.Value(), g.First.P95.Value(), g.First.P99.Value(),
			g.Total.Median.Value(), g.Total.P95.Value(), g.Total.P99.Value(), g.Total.Max.Value())
	}
	for _, code := range slices.Sorted(maps.Keys(p.Codes)) {
		out.print("final failure %s: %d\n", code, p.Codes[code])
	}
	for _, b := range p.Broken {
		out.print("BREACH %s\n", b)
	}
	out.print("calls %d, answered %d, refused as stated %d, refused otherwise %d, sent again %d, breaches %d\n",
		p.Calls, p.Answered, p.Stated, p.Refused, p.Repeats, p.Breaches)
	return out.err
}

// printer prints to a writer and keeps the first error, after which it prints nothing.
type printer struct {
	writer io.Writer
	err    error
}

func (p *printer) print(format string, a ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.writer, format, a...)
	}
}
