// Command snipepitchd is one instance of the serving layer.
//
// Usage:
//
//	snipepitchd -settings FILE [-check]
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
