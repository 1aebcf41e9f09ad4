package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipereplay"
	"snipepitch.example/snipepitch/snipetrace"
)

const (
	// maxIdleConns bounds the idle connections to one instance.
	maxIdleConns = 256
	dialTimeout  = time.Second
	// auditTimeout bounds reading the records of all upstreams.
	auditTimeout = 10 * time.Second
)

// errTwoFiles is returned for a bad argument of -compare.
var errTwoFiles = errors.New("-compare needs two files")

// runner holds the flags of one run; see flags for their meaning.
type runner struct {
	entries, keys, upstreams string
	jsonFile, svgFile        string
	minAnswered              float64
	maxInFlight              int64
	settle                   time.Duration
	keyedRepeats, plot       bool
	planned                  bool
}

// flags declares the flags of a run.
func (r *runner) flags() {
	flag.StringVar(&r.entries, "entries", "", "callers' addresses of the instances, `IP:PORT,...`")
	flag.StringVar(&r.keys, "keys", "", "keys of the teams, `TEAM=KEY,...`")
	flag.StringVar(&r.upstreams, "upstreams", "", "engines and services whose executions are audited, `IP:PORT,...`")
	flag.StringVar(&r.jsonFile, "json", "", "`file` for the results as JSON")
	flag.StringVar(&r.svgFile, "svg", "", "`file` for a plot of the times")
	flag.BoolVar(&r.plot, "plot", false, "print a plot of the times")
	flag.BoolVar(&r.planned, "planned", false, "nothing fails during the run: a call that is cut short is a breach")
	flag.BoolVar(&r.keyedRepeats, "keyed-repeats", true, "repeat non-idempotent calls that may have run, with their key")
	flag.Float64Var(&r.minAnswered, "min-answered", 0, "least `share` of calls that must end as stated, 0 to 1")
	flag.Int64Var(&r.maxInFlight, "max-in-flight", 4096, "most calls in flight; more are counted as Unsent")
	flag.DurationVar(&r.settle, "settle", time.Second, "pause between the last answer and the audit")
}

// teams returns the teams that have a key, separated by commas.
func (r *runner) teams() string {
	var names []string
	for _, s := range strings.Split(r.keys, ",") {
		team, _, _ := strings.Cut(s, "=")
		names = append(names, team)
	}
	return strings.Join(names, ",")
}

// addresses parses a list of addresses that are separated by commas.
func addresses(text string) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, s := range strings.Split(text, ",") {
		if s == "" {
			continue
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

// run replays the records, prints the results and returns the exit code.
func (r *runner) run(records []snipetrace.Record) int {
	p := &snipereplay.Replay{
		Keys: map[string]string{}, KeyedRepeats: r.keyedRepeats, Planned: r.planned, MaxInFlight: r.maxInFlight,
		Client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
	}
	var err error
	if p.Entries, err = addresses(r.entries); err != nil || len(p.Entries) == 0 {
		return finish(errors.Errorf("-entries %q: %v", r.entries, err))
	}
	upstreams, err := addresses(r.upstreams)
	if err != nil {
		return finish(errors.Wrap(err, "-upstreams"))
	}
	for _, s := range strings.Split(r.keys, ",") {
		team, key, _ := strings.Cut(s, "=")
		p.Keys[team] = key
	}
	results := p.Run(context.Background(), records)
	auditErr := r.audit(upstreams, results)
	report := snipereplay.NewReport(results)
	if err := r.write(report); err != nil {
		return finish(err)
	}
	return r.verdict(report, auditErr)
}

// audit adds to the results the breaches that the records of the upstreams show. It
// first pauses for -settle, so that late executions are in the records. Without
// upstreams it checks nothing.
func (r *runner) audit(upstreams []netip.AddrPort, results []snipereplay.Result) error {
	time.Sleep(r.settle)
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	a, err := snipereplay.ReadAudit(ctx, http.DefaultClient, upstreams)
	if err != nil || len(upstreams) == 0 {
		return err
	}
	a.Check(results)
	return nil
}

// write prints the report and writes the files that the flags name.
func (r *runner) write(report *snipereplay.Report) error {
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if r.plot {
		if err := report.WritePlot(os.Stdout); err != nil {
			return err
		}
	}
	if err := writeFile(r.svgFile, report.WriteSVG); err != nil {
		return err
	}
	return writeFile(r.jsonFile, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(report)
	})
}

// writeFile creates the named file and writes it; without a name it does nothing.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// verdict prints whether the promises were kept and returns the exit code.
func (r *runner) verdict(report *snipereplay.Report, auditErr error) int {
	switch {
	case auditErr != nil:
		fmt.Println("verdict: BROKEN,", auditErr)
	case report.Breaches > 0:
		fmt.Println("verdict: BROKEN")
	case report.AnsweredShare() < r.minAnswered:
		fmt.Printf("verdict: TOO FEW ANSWERS, %.3f of the calls ended as stated, not %.3f\n", report.AnsweredShare(), r.minAnswered)
	default:
		fmt.Println("verdict: kept")
		return 0
	}
	return exitBreach
}

// writeComparison prints the comparison of the two JSON reports whose files names lists,
// separated by a comma.
func writeComparison(names string) error {
	first, second, ok := strings.Cut(names, ",")
	if !ok {
		return errTwoFiles
	}
	var reports [2]snipereplay.Report
	for n, name := range []string{first, second} {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &reports[n]); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return snipereplay.WriteComparison(os.Stdout, &reports[0], &reports[1])
}
