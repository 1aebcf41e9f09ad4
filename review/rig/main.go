// Command rig plays the scripted cases of the review. It starts entry instances as separate processes with the command of
// the deploy file, beside a store, upstreams and callers of its own, all on loopback.
//
// Usage: rig CASE. TROUBLE=0 in the environment leaves the disruption out. Exit codes: 0 the rule held, 1 it was broken,
// 2 the case could not run. What was sent, answered and run goes to record.txt in the current folder.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestPlay bounds a play.
const longestPlay = 116 * time.Second

// A play runs one case and returns what broke the rule; nothing if it held.
type play func(w *world) (breaches []string, err error)

var plays = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE")
		return 2
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestPlay):
		}
		w.record("the case could not run: it was ended")
		w.close()
		os.Exit(2)
	}()
	breaches, err := plays[os.Args[1]](w)
	if err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	for _, b := range breaches {
		w.record("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaches) > 0 {
		return 1
	}
	w.record("the rule held")
	fmt.Println("held")
	return 0
}
