// Command snipesoak runs entry instances as processes, sends them requests, injects
// faults drawn from a seed, and prints which promises were broken.
//
// Usage:
//
//	snipesoak -program FILE [-seed N] [-seeds N] [-length D] [-instances N] [-logs DIR]
//
// Exit codes: 0 when no promise was broken, 1 when one was broken or a run failed,
// 2 for bad arguments. The logs of a run that did not pass are kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"snipepitch.example/snipepitch/snipesoak"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	program := flag.String("program", "", "the instance's program, a `file`")
	seed := flag.Uint64("seed", 1, "the first `number` that faults are drawn from")
	seeds := flag.Uint64("seeds", 1, "how `many` seeds are played, one after another")
	length := flag.Duration("length", 15*time.Second, "the time in which faults begin")
	instances := flag.Int("instances", 3, "how many `processes` of the program run")
	logs := flag.String("logs", os.TempDir(), "`folder` for settings and logs")
	flag.Parse()
	if *program == "" || *instances < 1 || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	passed, failed := 0, 0
	for n := *seed; n < *seed+*seeds; n++ {
		if runSeed(n, *program, *logs, *length, *instances) {
			passed++
		} else {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		os.Exit(exitFailed)
	}
}

// runSeed runs the soak with one seed, prints the result, and reports whether the run
// succeeded and no promise was broken. It removes the logs of such a run.
func runSeed(seed uint64, program, logs string, length time.Duration, instances int) bool {
	folder, err := os.MkdirTemp(logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipesoak:", err)
		return false
	}
	faultLog, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipesoak:", err)
		return false
	}
	defer func() { _ = faultLog.Close() }()
	s := &snipesoak.Soak{
		Seed: seed, Program: program, Folder: folder, Length: length, Instances: instances, Out: faultLog,
	}
	breaches, answered, err := s.Run(context.Background())
	if err != nil {
		fmt.Printf("seed %d: %v; logs in %s\n", seed, err, folder)
		return false
	}
	for _, b := range breaches {
		fmt.Printf("seed %d: BROKEN %s: %s\n", seed, b.Promise, b.Detail)
	}
	fmt.Printf("seed %d: %d answered, %d broken\n", seed, answered, len(breaches))
	if g := s.Grants; g.Declared > 0 {
		fmt.Printf("seed %d: %d grants, used %d times while declared, denied %d, of these %d late at disturbed instances\n", seed, g.Declared, g.Used, g.Denied, g.Excused)
	}
	if s.Streams.Tried > 0 {
		fmt.Printf("seed %d: streams %+v\n", seed, s.Streams)
	}
	if len(breaches) > 0 {
		fmt.Println("logs in", folder)
		return false
	}
	_ = os.RemoveAll(folder) // files that could not be removed only take up space
	return true
}
