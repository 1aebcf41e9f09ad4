// Command snipepitchd runs one instance of the serving layer.
//
// Usage:
//
//	snipepitchd -settings FILE [-check]
//	snipepitchd entry [-settings FILE] [-check]
//
// With entry the process is an entry instance on the co-operative platform: it
// forwards requests to upstreams, and the platform names the settings file
// unless -settings is given.
//
// Exit codes: 0 after a planned stop or a successful check, 1 when the instance
// could not serve, 2 for bad arguments or a bad settings file.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipeconfig"
	"snipepitch.example/snipepitch/snipeinstance"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(serve())
}

// serve runs the instance that the command line describes and returns the exit
// code.
func serve() int {
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		return serveEntry(os.Args[2:])
	}
	settings := flag.String("settings", "", "the instance's settings `file`")
	check := flag.Bool("check", false, "only check the settings file")
	flag.Parse()
	if *settings == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	c, err := snipeconfig.Load(*settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipepitchd:", err)
		return exitUsage
	}
	if *check {
		return 0
	}
	level, err := logrus.ParseLevel(c.LogLevel)
	if err != nil {
		// Does not happen: Load has checked the level.
		level = logrus.InfoLevel
	}
	buffer := snipelog.NewBuffer(os.Stderr)
	defer buffer.Start()()
	i := &snipeinstance.Instance{
		Config: c, Log: snipelog.New(buffer, level, c.Name), LogDropped: buffer.Dropped,
	}
	if err := i.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "snipepitchd:", err)
		return exitFailed
	}
	return 0
}
