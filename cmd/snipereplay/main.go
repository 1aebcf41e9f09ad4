// Command snipereplay replays a trace against a running system, prints
// histograms and judges every answer and refusal.
//
// Usage:
//
//	snipereplay -trace FILE -entries IP:PORT[,...] -keys TEAM=KEY[,...] [-upstreams IP:PORT[,...]]
//	snipereplay -load -calls N -length D ... -entries ... -keys ...
//	snipereplay -generate -seed N -calls N -length D -teams A,B -adapters N [-popularity P] [-service S]
//	snipereplay -compare FILE,FILE
//
// -load generates a trace as -generate does and replays it at once: an open
// loop of -calls calls over -length. -upstreams are all engines and services:
// without them nothing is said about executions.
//
// Exit codes: 0 when no promise was broken, 1 on a breach, when executions
// cannot be audited or when fewer calls than -min-answered ended as stated,
// 2 for bad arguments.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipetrace"
)

const (
	exitBreach = 1
	exitUsage  = 2
)

func main() {
	os.Exit(replay())
}

func replay() int {
	generate := flag.Bool("generate", false, "write a trace to standard output")
	load := flag.Bool("load", false, "replay a generated trace")
	compare := flag.String("compare", "", "compare two results of -json, `FILE,FILE`")
	trace := flag.String("trace", "", "trace `file`")
	teams := flag.String("teams", "", "teams of a generated trace, `A,B`; those of -keys when empty")
	s := &snipetrace.Shape{Popularity: snipetrace.Steady}
	shapeFlags(s)
	r := &runner{}
	r.flags()
	flag.Parse()
	if *teams == "" {
		*teams = r.teams()
	}
	s.Teams = strings.Split(*teams, ",")
	switch {
	case *compare != "":
		return report(writeComparison(*compare))
	case *generate:
		records, err := snipetrace.Generate(*s)
		if err == nil {
			err = snipetrace.Write(os.Stdout, records)
		}
		return report(err)
	case *load:
		records, err := snipetrace.Generate(*s)
		if err != nil {
			return report(err)
		}
		return r.run(records)
	}
	records, err := readTrace(*trace)
	if err != nil {
		return report(err)
	}
	return r.run(records)
}

func shapeFlags(s *snipetrace.Shape) {
	flag.Uint64Var(&s.Seed, "seed", 1, "seed of a generated trace")
	flag.IntVar(&s.Calls, "calls", 500, "calls of a generated trace")
	flag.DurationVar(&s.Length, "length", 10*time.Second, "length of a generated trace")
	flag.IntVar(&s.Adapters, "adapters", 100, "adapters of each team in a generated trace")
	flag.StringVar(&s.Service, "service", "", "plain service in a generated trace")
	flag.IntVar(&s.Crashes, "crashes", 0, "calls of a generated trace that crash engines")
	flag.DurationVar(&s.Timeout, "timeout", 20*time.Second, "deadline of each call in a generated trace")
	flag.Func("popularity", "`steady`, shift, drift or storm (default steady)", func(text string) error {
		s.Popularity = snipetrace.Popularity(text)
		return nil
	})
}

func readTrace(name string) ([]snipetrace.Record, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return snipetrace.Read(f)
}

func report(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipereplay:", err)
		return exitUsage
	}
	return 0
}
