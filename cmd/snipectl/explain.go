package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestory"
)

// prepareExplain declares the flags of explain.
func prepareExplain(f *flag.FlagSet) action {
	all := f.Bool("all", false, "print all lines that concern the request, not only those that speak for the cause")
	return func(_ context.Context, c *client, arguments []string) error {
		if len(arguments) == 0 {
			return errors.Wrap(errUsage, "explain needs the identifier of a request")
		}
		log := snipestory.NewLog(arguments[0])
		if err := readLogs(log, arguments[1:], c.in); err != nil {
			return err
		}
		if log.Skipped > 0 {
			// The explanation may be incomplete without the skipped lines.
			_, _ = fmt.Fprintf(c.messages, "snipectl: %d lines are none of an instance's log\n", log.Skipped)
		}
		story, err := log.Reconstruct()
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(story)
		}
		return c.printStory(story, *all)
	}
}

// readLogs reads the files into log, or standard input if there are none.
func readLogs(log *snipestory.Log, files []string, in io.Reader) error {
	if len(files) == 0 {
		return log.Read(in)
	}
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(log *snipestory.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := log.Read(file); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// printStory prints how the request ended, the cause, and the log lines that are
// evidence for the cause; with all, every log line that concerns the request.
func (c *client) printStory(s *snipestory.Story, all bool) error {
	lines := s.Evidence
	if all {
		lines = s.Lines
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request  %s\n", s.ID)
	if e := s.End; e != nil {
		fmt.Fprintf(&b, "end      %s, status %d, after %d ms at instance %s\n", e.Name, e.Status, e.Milliseconds, e.Instance)
		fmt.Fprintf(&b, "route    %s, adapter %q, tried %s, ran %d\n", e.Route, e.Adapter, strings.Join(e.Tried, " "), e.Ran)
	}
	fmt.Fprintf(&b, "cause    %s: %s\n", s.Cause.Kind, s.Cause.Text)
	for _, l := range lines {
		fmt.Fprintln(&b, l.Raw)
	}
	_, err := io.WriteString(c.out, b.String())
	return err
}
