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

// prepareWatch declares the flags of watch and returns its action, which polls the
// branch until ctx ends or -count changes are printed.
func prepareWatch(f *flag.FlagSet) action {
	interval := f.Duration("interval", time.Second, "`time` between two looks")
	count := f.Int("count", 0, "end after so many changes; 0 for never")
	return func(ctx context.Context, c *client, arguments []string) error {
		team, err := optionalArgument(arguments)
		if err != nil {
			return err
		}
		t := time.NewTicker(*interval)
		defer t.Stop()
		w := &watch{client: c, team: team}
		for *count == 0 || w.changes < *count {
			if err := w.poll(ctx); err != nil && ctx.Err() == nil {
				// Polling continues, because the instance may answer again later.
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

// watch polls one branch for changes.
type watch struct {
	client *client
	team   string
	// version and document are those of the last poll.
	version  uint64
	document []byte
	// changes counts the changes printed.
	changes int
}

// poll prints the change since the previous poll. The first poll prints the whole
// branch as a change from an empty one, or nothing if the branch has never been edited.
func (w *watch) poll(ctx context.Context) error {
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
	w.changes++
	if w.client.json {
		return w.client.printJSON(change{out.GetRevision(), out.GetVersion(), lines})
	}
	if err := w.client.print("# revision %d, version %d\n", out.GetRevision(), out.GetVersion()); err != nil {
		return err
	}
	return w.client.printLines(lines)
}
