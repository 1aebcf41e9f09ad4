package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeproto"
)

// history prints the accepted edits of a branch.
func history(ctx context.Context, c *client, arguments []string) error {
	team, err := optionalArgument(arguments)
	if err != nil {
		return err
	}
	out, err := c.operator.GetHistory(ctx, &snipeproto.GetHistoryRequest{Team: team})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	var rows []string
	for _, e := range out.GetEdits() {
		accepted := time.UnixMilli(e.GetAccepted()).UTC().Format(time.RFC3339)
		rows = append(rows, fmt.Sprintf("%d\t%d\t%s", e.GetVersion(), e.GetRevision(), accepted))
	}
	return c.printTable("VERSION\tREVISION\tACCEPTED", rows)
}

// prepareRollback declares the flags of rollback and returns its action, which sends
// the edit only once, also if its outcome is unknown.
func prepareRollback(f *flag.FlagSet) action {
	team := f.String("team", "", "the branch; the platform's when empty")
	version := f.Uint64("version", 0, "version that the branch must have, as show prints it")
	to := f.Uint64("to", 0, "version whose document the branch gets, as history prints it")
	wait := f.Duration("wait", 0, "wait until the edit is in force on every live instance, at most this `time`")
	return func(ctx context.Context, c *client, arguments []string) error {
		if len(arguments) > 0 || *to == 0 || *version == 0 {
			return errors.Wrap(errUsage, "rollback needs -version and -to")
		}
		out, err := c.operator.Rollback(ctx, &snipeproto.RollbackRequest{
			Team: *team, ExpectVersion: *version, Version: *to,
		})
		if err != nil {
			return editError(err)
		}
		return c.reportAccepted(ctx, out.GetRevision(), *wait)
	}
}
