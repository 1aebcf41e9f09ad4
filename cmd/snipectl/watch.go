package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"snipepitch.example/snipepitch/snipeproto"
)

// change is one change of a branch as -json prints it.
type change struct {
	Revision, Version uint64
	Changes           []difference
}

func prepareWatch(f *flag.FlagSet) action {
	interval := f.Duration("interval", time.Second, "`time` between two looks")
	count := f.Int("count", 0, "end after so many changes; 0 for never")
	return func(ctx context.Context, c *client, arguments []string) error {
		team, err := optional(arguments)
		if err != nil {
			return err
		}
		t := time.NewTicker(*interval)
		defer t.Stop()
		w := &watch{client: c, team: team}
		for *count == 0 || w.seen < *count {
			if err := w.look(ctx); err != nil && ctx.Err() == nil {
				// The instance may come back: the watch goes on.
				_, _ = fmt.Fprintln(c.messages, "snipectl:", err)
			}
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
		return nil
	}
}

// watch is the state of one watch.
type watch struct {
	client   *client
	team     string
	version  uint64
	document []byte
	seen     int
}

// look prints the change since the last look; the first one prints the branch
// as it is.
func (w *watch) look(ctx context.Context) error {
	out, err := w.client.operator.GetSettings(ctx, &snipeproto.GetSettingsRequest{Team: w.team})
	if err != nil {
		return err
	}
	if out.GetVersion() == w.version {
		return nil
	}
	lines, err := compare(w.document, out.GetDocument())
	if err != nil {
		return err
	}
	w.version, w.document = out.GetVersion(), out.GetDocument()
	w.seen++
	if w.client.json {
		return w.client.printJSON(change{out.GetRevision(), out.GetVersion(), lines})
	}
	if err := w.client.print("# revision %d, version %d\n", out.GetRevision(), out.GetVersion()); err != nil {
		return err
	}
	return w.client.printLines(lines)
}
