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
	// milliseconds, or within half a second when it is slow.
	storeTimeout = 1200 * time.Millisecond
	// orderIdleTimeout is how long an idle connection for orders is kept if the
	// engine's answers do not state how long the engine keeps it.
	orderIdleTimeout = 4 * time.Second
	// maxIdleOrderConns bounds the idle connections for orders to one engine.
	maxIdleOrderConns = 2
	// orderDialTimeout bounds the time to open a connection for orders.
	orderDialTimeout = 300 * time.Millisecond
	// memoryLimitShare is the fraction of the instance's memory at which the Go
	// memory limit is set. Near the limit garbage is collected more often, so
	// that a burst does not exhaust the memory and end the process.
	memoryLimitShare = 0.7
)

// serveEntry runs an entry instance on the co-operative platform and returns the
// exit code.
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

// runEntry runs an entry instance with checked settings, which it reloads from path.
func runEntry(s snipeentry.Settings, path string) error {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		// Does not happen: LoadSettings has checked the level.
		level = logrus.InfoLevel
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	buffer := snipelog.NewBuffer(os.Stdout)
	defer buffer.Start()()
	dial := snipelink.Dialer()
	store := &platform.Store{Address: s.Table, Timeout: storeTimeout, Dial: dial}
	store.Open()
	engines := &platform.Engines{Links: &snipelink.Pool{
		Dial: dial, DialTimeout: orderDialTimeout, IdleTimeout: orderIdleTimeout, MaxIdle: maxIdleOrderConns,
		KeepAlive: platform.KeepAlive, HeadBound: platform.EngineHeadBound,
	}}
	i := &snipeentry.Instance{
		Settings: s, Incarnation: rand.Text(), Operation: rand.Text,
		Log: snipelog.New(buffer, level, s.Name), LogDropped: buffer.Dropped,
		Reload: func() (snipeentry.Settings, error) { return snipeentry.LoadSettings(path) },
		Platform: snipeentry.Platform{
			Protocol: platform.Protocol(), ReadyPath: platform.ReadyPath,
			Source: store.Source, Write: store.WriteRows, Engine: engines.Engine(),
			Identifier: platform.Identifier, KeepAlive: platform.KeepAlive,
			DeclaredTable: platform.DeclaredTable, DecodeDeclared: platform.DecodeDeclared,
			UpstreamTable: platform.UpstreamTable, DecodeUpstreams: platform.DecodeUpstreams,
			SameUpstream: platform.SameUpstream,
		},
	}
	return i.Run(context.Background())
}
