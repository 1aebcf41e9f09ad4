package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/platform"
	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// storeTimeout bounds one call to the platform's store, which answers within
	// milliseconds, and within half a second when it is slow.
	storeTimeout = 1200 * time.Millisecond
	// orderIdle is how long an idle connection for orders is kept.
	orderIdle = 4 * time.Second
	// ordersKept bounds the idle connections for orders to one engine.
	ordersKept = 2
	// orderDial bounds a connection for orders.
	orderDial = 300 * time.Millisecond
	// memoryShare is the share of its memory from which on a process collects
	// garbage more often, so that a burst does not end it.
	memoryShare = 0.7
)

// serveEntry runs an entry instance on the co-operative platform.
func serveEntry(arguments []string) int {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	path := flags.String("settings", platform.SettingsPath(), "the instance's settings `file`")
	check := flags.Bool("check", false, "only check the settings file")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		return exitUsage
	}
	s, err := snipeentry.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipepitchd:", err)
		return exitUsage
	}
	if *check {
		return 0
	}
	if err := runEntry(s, *path); err != nil {
		fmt.Fprintln(os.Stderr, "snipepitchd:", err)
		return exitFailed
	}
	return 0
}

func runEntry(s snipeentry.Settings, path string) error {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		// The settings file has been checked.
		level = logrus.InfoLevel
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	buffer := snipelog.NewBuffer(os.Stdout)
	defer buffer.Start()()
	dial := snipelink.Dialer()
	store := &platform.Store{Address: s.Table, Timeout: storeTimeout, Dial: dial}
	store.Open()
	engines := &platform.Engines{Links: &snipelink.Pool{
		Dial: dial, DialTimeout: orderDial, Idle: orderIdle, Kept: ordersKept,
		Belongs: platform.AnyAnswer, KeepAlive: platform.KeepAlive,
	}}
	i := &snipeentry.Instance{
		Settings: s, Incarnation: rand.Text(), Operation: rand.Text,
		Log: snipelog.New(buffer, level, s.Name), LogDropped: buffer.Dropped,
		Reload: func() (snipeentry.Settings, error) { return snipeentry.LoadSettings(path) },
		Platform: snipeentry.Platform{
			Protocol: platform.Protocol(), ReadyPath: platform.ReadyPath,
			Source: store.Source, Write: store.WriteRows, Engine: engines.Engine(),
			Belongs: platform.Belongs, KeepAlive: platform.KeepAlive,
			DeclaredTable: platform.DeclaredTable, DecodeDeclared: platform.DecodeDeclared,
			UpstreamTable: platform.UpstreamTable, DecodeUpstreams: platform.DecodeUpstreams,
			SameUpstream: platform.SameUpstream,
		},
	}
	return i.Run(context.Background())
}
