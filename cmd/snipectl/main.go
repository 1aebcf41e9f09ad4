// Command snipectl is the operators' command line.
//
// Usage:
//
//	snipectl [-address IP:PORT] [-key-file FILE] [-json] COMMAND [arguments]
//
// Commands: show, apply, instances, engines, drain, hash.
//
// Exit codes: 0 done, 1 failed, 2 bad arguments, 3 conflict with another edit,
// 4 refused (rights or invalid settings), 5 outcome unknown.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitRefused  = 4
	exitUnknown  = 5
)

// command is one command of the line.
type command struct {
	usage string
	run   func(ctx context.Context, c *client, arguments []string) error
}

func commands() map[string]command {
	return map[string]command{
		"show":      {"show [TEAM]: print one branch; the platform's without TEAM", show},
		"apply":     {"apply [-team TEAM] [-version N] FILE: replace one branch", apply},
		"instances": {"instances: list the live instances", instances},
		"engines":   {"engines: list the engines, their owners and resident adapters", engines},
		"drain":     {"drain: stop the called instance gracefully", drain},
		"hash":      {"hash: print the hash of the key on standard input", hash},
	}
}

func main() {
	os.Exit(runLine(os.Args[1:]))
}

func runLine(line []string) int {
	f := flag.NewFlagSet("snipectl", flag.ContinueOnError)
	address := f.String("address", "127.0.0.1:7001", "operators' `IP:PORT` of an instance")
	keyFile := f.String("key-file", "", "`file` with the operator's key; else the environment's SNIPECTL_KEY")
	asJSON := f.Bool("json", false, "print JSON instead of a table")
	f.Usage = func() { usage(f) }
	if err := f.Parse(line); err != nil {
		return exitUsage
	}
	c, ok := commands()[f.Arg(0)]
	if !ok {
		usage(f)
		return exitUsage
	}
	key, err := readKey(*keyFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipectl:", err)
		return exitUsage
	}
	err = c.run(context.Background(), newClient(*address, key, *asJSON), f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipectl:", err)
	}
	return exitCode(err)
}

func usage(f *flag.FlagSet) {
	out := f.Output()
	_, _ = fmt.Fprintln(out, "usage: snipectl [flags] COMMAND [arguments]")
	for _, name := range []string{"show", "apply", "instances", "engines", "drain", "hash"} {
		_, _ = fmt.Fprintln(out, "  "+commands()[name].usage)
	}
	f.PrintDefaults()
}

func readKey(file string) (string, error) {
	if file == "" {
		return os.Getenv("SNIPECTL_KEY"), nil
	}
	data, err := os.ReadFile(file)
	return strings.TrimSpace(string(data)), err
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	t, ok := err.(twirp.Error) //nolint:errorlint // Twirp returns it unwrapped
	if !ok {
		return exitFailed
	}
	switch t.Code() {
	case twirp.FailedPrecondition:
		return exitConflict
	case twirp.InvalidArgument, twirp.PermissionDenied, twirp.Unauthenticated:
		return exitRefused
	case twirp.DeadlineExceeded:
		return exitUnknown
	}
	return exitFailed
}

func show(ctx context.Context, c *client, arguments []string) error {
	r := &snipeproto.GetSettingsRequest{}
	if len(arguments) > 0 {
		r.Team = arguments[0]
	}
	out, err := c.operator.GetSettings(ctx, r)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	fmt.Printf("# revision %d, version %d\n%s\n", out.GetRevision(), out.GetVersion(), out.GetDocument())
	return nil
}

func apply(ctx context.Context, c *client, arguments []string) error {
	f := flag.NewFlagSet("apply", flag.ContinueOnError)
	team := f.String("team", "", "the branch; the platform's when empty")
	version := f.Uint64("version", 0, "version that the branch must have; 0 for a new branch")
	if err := f.Parse(arguments); err != nil {
		return err
	}
	data, err := readInput(f.Arg(0))
	if err != nil {
		return err
	}
	out, err := c.operator.ApplySettings(ctx, &snipeproto.ApplySettingsRequest{
		Team: *team, ExpectVersion: *version, Document: data,
	})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	fmt.Printf("accepted as revision %d\n", out.GetRevision())
	return nil
}

func readInput(name string) ([]byte, error) {
	if name == "" || name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func instances(ctx context.Context, c *client, _ []string) error {
	out, err := c.operator.ListInstances(ctx, &snipeproto.ListInstancesRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NAME\tDOMAIN\tPEERS\tOPERATORS\tREVISION\tLEAVING")
	for _, i := range out.GetInstances() {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%t\n",
			i.GetName(), i.GetDomain(), i.GetPeerAddress(), i.GetOperatorAddress(), i.GetRevision(), i.GetLeaving())
	}
	return t.Flush()
}

func engines(ctx context.Context, c *client, _ []string) error {
	out, err := c.operator.ListEngines(ctx, &snipeproto.ListEnginesRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NAME\tBASE\tDOMAIN\tOWNER\tFENCE\tSLOTS\tRESIDENT")
	for _, e := range out.GetEngines() {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.GetName(), e.GetBase(), e.GetDomain(),
			e.GetOwner(), e.GetFence(), e.GetSlots(), strings.Join(e.GetResident(), " "))
	}
	return t.Flush()
}

func drain(ctx context.Context, c *client, _ []string) error {
	_, err := c.operator.Drain(ctx, &snipeproto.DrainRequest{})
	return err
}

func hash(context.Context, *client, []string) error {
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return err
	}
	text, err := snipetree.HashKey(strings.TrimSpace(string(data))).MarshalText()
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}
