// Command stand2 starts entry instances as processes beside stand-ins of the co-operative platform, its runners and its callers,
// and judges what callers, runners and the platform see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// play is what all cases have.
type play struct {
	daemon, folder string
	trouble        bool
	record         *record
	begun          time.Time
}

// cases are the cases by name.
var cases = map[string]func(p *play) (broken bool, err error){
	"headers": headersCase,
	"readers": readersCase,
	"resumes": resumesCase,
}

func main() {
	daemon := flag.String("daemon", "target/snipepitchd", "the daemon")
	folder := flag.String("folder", "", "a `folder` for settings and logs")
	path := flag.String("record", "record.txt", "the `file` for the record")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil || *folder == "" {
		flag.Usage()
		os.Exit(exitNotRun)
	}
	f, err := os.Create(filepath.Clean(*path))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	now := time.Now()
	p := &play{daemon: *daemon, folder: *folder, trouble: os.Getenv("TROUBLE") != "0", begun: now, record: &record{file: f, begun: now}}
	p.record.note("case %s, disturbed: %v", flag.Arg(0), p.trouble)
	broken, err := run(p)
	code := exitHeld
	switch {
	case err != nil:
		p.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	case broken:
		p.record.note("the rule was broken")
		code = exitBroken
	default:
		p.record.note("the rule held")
	}
	if err := f.Close(); err != nil {
		code = exitNotRun
	}
	os.Exit(code)
}
