// Command snipepitchd is one instance of the serving layer.
//
// Usage:
//
//	snipepitchd -settings FILE [-check]
//	snipepitchd entry [-settings FILE] [-check]
//
// With entry it passes requests on as an entry instance of the co-operative
// platform, which names the settings file itself.
//
// Exit codes: 0 after a planned stop or a successful check, 1 when it could
// not serve, 2 for bad arguments or a bad settings file.
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
		// The settings file has been checked.
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
