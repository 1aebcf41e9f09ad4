package snipereplay

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// Report sums up the results of a replay.
type Report struct {
	Calls, Answered, Refused, Breaches int
	// Groups are the durations by team and class.
	Groups map[Group][]time.Duration
	// Codes count the final failures by code.
	Codes map[string]int
	// Broken are the results with a breach.
	Broken []Result
}

// Group is one team and class.
type Group struct {
	Team, Class string
}

// NewReport sums up results.
func NewReport(results []Result) *Report {
	p := &Report{Groups: map[Group][]time.Duration{}, Codes: map[string]int{}}
	for _, r := range results {
		p.Calls++
		switch {
		case r.Answered:
			p.Answered++
			g := Group{r.Record.Team, r.Record.Class.String()}
			p.Groups[g] = append(p.Groups[g], r.Duration)
		case r.Record.Code == "":
			p.Refused++
			p.Codes[r.Refused]++
		}
		if r.Breach != "" {
			p.Breaches++
			p.Broken = append(p.Broken, r)
		}
	}
	return p
}

// maxBroken bounds how many breaches are printed.
const maxBroken = 10

// Write prints the report.
func (p *Report) Write(w io.Writer) error {
	groups := make([]Group, 0, len(p.Groups))
	for g := range p.Groups {
		groups = append(groups, g)
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		return a.Team < b.Team || a.Team == b.Team && a.Class < b.Class
	})
	out := &printer{writer: w}
	out.print("%-12s %-9s %6s %10s %10s %10s\n", "Team", "Class", "Calls", "Median", "P95", "P99")
	for _, g := range groups {
		d := p.Groups[g]
		sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
		out.print("%-12s %-9s %6d %10s %10s %10s\n", g.Team, g.Class, len(d), at(d, 0.5), at(d, 0.95), at(d, 0.99))
	}
	for code, n := range p.Codes {
		out.print("final failure %s: %d\n", code, n)
	}
	for _, r := range p.Broken[:min(len(p.Broken), maxBroken)] {
		out.print("BREACH team %s model %s service %s key %s: %s\n",
			r.Record.Team, r.Record.Model, r.Record.Service, r.Record.Key, r.Breach)
	}
	out.print("calls %d, answered %d, refused %d, breaches %d\n", p.Calls, p.Answered, p.Refused, p.Breaches)
	return out.err
}

// at returns the value at a quantile of sorted durations.
func at(sorted []time.Duration, quantile float64) time.Duration {
	n := int(quantile * float64(len(sorted)))
	return sorted[min(n, len(sorted)-1)].Round(100 * time.Microsecond)
}

// printer keeps the first error of a row of prints.
type printer struct {
	writer io.Writer
	err    error
}

func (p *printer) print(format string, a ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.writer, format, a...)
	}
}
