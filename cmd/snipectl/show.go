package main

import (
	"context"
	"flag"

	"snipepitch.example/snipepitch/snipeproto"
)

// prepareShow declares the flags of show.
func prepareShow(f *flag.FlagSet) action {
	documentOnly := f.Bool("document", false, "print only the branch, as a file for apply")
	version := f.Uint64("version", 0, "print an earlier version, as history lists it")
	return func(ctx context.Context, c *client, arguments []string) error {
		team, err := optionalArgument(arguments)
		if err != nil {
			return err
		}
		out, err := c.operator.GetSettings(ctx, &snipeproto.GetSettingsRequest{Team: team, Version: *version})
		switch {
		case err != nil:
			return err
		case *documentOnly:
			return c.print("%s\n", out.GetDocument())
		case c.json:
			return c.printJSON(branchOutput{out.GetRevision(), out.GetVersion(), out.GetDocument(), out.GetTeams()})
		}
		return c.print("# revision %d, version %d\n%s\n", out.GetRevision(), out.GetVersion(), out.GetDocument())
	}
}
