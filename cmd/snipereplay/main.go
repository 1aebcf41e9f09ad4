// Command snipereplay replays a trace against a running system and prints
// histograms and a verdict.
//
// Usage:
//
//	snipereplay -trace FILE -entries IP:PORT[,...] -keys TEAM=KEY[,...]
//	snipereplay -generate -seed N -calls N -length D -teams A,B -adapters N [-service S] > FILE
//
// Exit codes: 0 when no promise was broken, 1 on a breach, 2 for bad arguments.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipereplay"
	"snipepitch.example/snipepitch/snipetrace"
)

const (
	exitBreach = 1
	exitUsage  = 2

	idleConnections = 256
)

func main() {
	os.Exit(replay())
}

func replay() int {
	generate := flag.Bool("generate", false, "write a trace to standard output")
	trace := flag.String("trace", "", "trace `file`")
	entries := flag.String("entries", "", "callers' addresses of the instances, `IP:PORT,...`")
	keys := flag.String("keys", "", "keys of the teams, `TEAM=KEY,...`")
	teams := flag.String("teams", "", "teams of a generated trace, `A,B`")
	maxRefused := flag.Int("max-refused", -1, "most calls that may be refused; -1 for any number")
	s := snipetrace.Shape{}
	flag.Uint64Var(&s.Seed, "seed", 1, "seed of a generated trace")
	flag.IntVar(&s.Calls, "calls", 500, "calls of a generated trace")
	flag.DurationVar(&s.Length, "length", 10*time.Second, "length of a generated trace")
	flag.IntVar(&s.Adapters, "adapters", 100, "adapters of each team in a generated trace")
	flag.StringVar(&s.Service, "service", "", "plain service in a generated trace")
	flag.DurationVar(&s.Timeout, "timeout", 20*time.Second, "deadline of each call in a generated trace")
	flag.Parse()
	if *generate {
		s.Teams = strings.Split(*teams, ",")
		return report(snipetrace.Write(os.Stdout, snipetrace.Generate(s)))
	}
	return run(*trace, *entries, *keys, *maxRefused)
}

func report(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipereplay:", err)
		return exitUsage
	}
	return 0
}

func run(trace, entries, keys string, maxRefused int) int {
	f, err := os.Open(trace)
	if err != nil {
		return report(err)
	}
	records, err := snipetrace.Read(f)
	_ = f.Close()
	if err != nil {
		return report(err)
	}
	p := &snipereplay.Replay{
		Keys:   map[string]string{},
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
	}
	for _, s := range strings.Split(entries, ",") {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return report(err)
		}
		p.Entries = append(p.Entries, a)
	}
	for _, s := range strings.Split(keys, ",") {
		team, key, _ := strings.Cut(s, "=")
		p.Keys[team] = key
	}
	result := snipereplay.NewReport(p.Run(context.Background(), records))
	if err := result.Write(os.Stdout); err != nil {
		return report(err)
	}
	if result.Breaches > 0 || maxRefused >= 0 && result.Refused > maxRefused {
		fmt.Println("verdict: BROKEN")
		return exitBreach
	}
	fmt.Println("verdict: kept")
	return 0
}
