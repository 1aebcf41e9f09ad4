// Command snipereplay replays a trace against a running system, checks every
// answer and refusal, and prints the times and the breaches.
//
// Usage:
//
//	snipereplay -trace FILE -entries IP:PORT[,...] -keys TEAM=KEY[,...] [-upstreams IP:PORT[,...]]
//	snipereplay -load -calls N -length D ... -entries ... -keys ...
//	snipereplay -generate -seed N -calls N -length D -teams A,B -adapters N [-popularity P] [-service S]
//	snipereplay -compare FILE,FILE
//
// -load generates a trace as -generate does and replays it at once, as an open
// loop of -calls calls over -length. -upstreams names all engines and services;
// without it executions are not checked.
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

// replay runs the command line and returns the exit code.
func replay() int {
	generate := flag.Bool("generate", false, "write a trace to standard output")
	load := flag.Bool("load", false, "replay a generated trace")
	compare := flag.String("compare", "", "compare two results of -json, `FILE,FILE`")
	trace := flag.String("trace", "", "trace `file`")
	teams := flag.String("teams", "", "teams of a generated trace, `A,B`; those of -keys when empty")
	shape := &snipetrace.Shape{Popularity: snipetrace.Steady}
	shapeFlags(shape)
	r := &runner{}
	r.flags()
	flag.Parse()
	if *teams == "" {
		*teams = r.teams()
	}
	shape.Teams = strings.Split(*teams, ",")
	switch {
	case *compare != "":
		return finish(writeComparison(*compare))
	case *generate:
		records, err := snipetrace.Generate(*shape)
		if err == nil {
			err = snipetrace.Write(os.Stdout, records)
		}
		return finish(err)
	case *load:
		records, err := snipetrace.Generate(*shape)
		if err != nil {
			return finish(err)
		}
		return r.run(records)
	}
	records, err := readTrace(*trace)
	if err != nil {
		return finish(err)
	}
	return r.run(records)
}

// shapeFlags declares the flags of generated traces.
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

// finish returns the exit code: exitUsage after printing a non-nil error, else 0.
func finish(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipereplay:", err)
		return exitUsage
	}
	return 0
}
