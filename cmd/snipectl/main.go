// Command snipectl is the operators' command-line client of an instance.
//
// Usage:
//
//	snipectl [-address IP:PORT] [-key-file FILE] [-ca FILE] [-json] COMMAND [arguments]
//
// `snipectl -help` lists the commands, `snipectl COMMAND -help` explains one.
//
// Exit codes: 0 done, 1 failed, 2 bad arguments, 3 conflict with another edit,
// 4 refused (rights or invalid settings), 5 outcome unknown, 6 accepted but not
// yet in force everywhere, 7 the branches differ.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
)

const (
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitRefused    = 4
	exitUnknown    = 5
	exitNotInForce = 6
	exitDiffers    = 7
)

// Errors that have their own exit code.
var (
	errUsage      = errors.New("bad arguments")
	errNotInForce = errors.New("accepted, but not in force everywhere yet")
	errDiffers    = errors.New("the branches differ")
	errUnknown    = errors.New("outcome unknown: the edit may have taken effect")
)

// action runs a command whose flags have been parsed.
type action func(ctx context.Context, c *client, arguments []string) error

// command describes a subcommand.
type command struct {
	// name is the command's name; arguments are its flags and arguments as the
	// usage text shows them.
	name, arguments string
	// about describes the command in the usage text.
	about string
	// prepare declares the command's flags and returns its action.
	prepare func(f *flag.FlagSet) action
}

// teamArgument is the usage text of an optional team, which names a branch; without
// it the command concerns the platform's branch.
const teamArgument = "[TEAM]"

var commands = []command{
	{"show", teamArgument, "print one branch in force; the platform's without TEAM", prepareShow},
	{"diff", "[-team TEAM] [FILE]", "compare a branch in force with a file", prepareDiff},
	{"apply", "[-team TEAM] [-version N] [-wait D] [FILE]", "replace one branch", prepareApply},
	{"watch", teamArgument, "print each change of a branch as it comes into force", prepareWatch},
	{"history", teamArgument, "list the accepted edits of a branch, the last one first", withoutFlags(history)},
	{"rollback", "-version N -to N [-team TEAM] [-wait D]", "give a branch an earlier document, as a new version", prepareRollback},
	{"instances", "", "list the live instances with the revision in force on each", withoutFlags(instances)},
	{"engines", "", "list the engines, their owners and resident adapters", withoutFlags(engines)},
	{"upstreams", "", "list engines and services' upstreams", withoutFlags(upstreams)},
	{"adapters", teamArgument, "list the resident adapters and where they are", withoutFlags(adapters)},
	{"leases", "", "list the leases and what is owned under each", withoutFlags(leases)},
	{"drain", "[INSTANCE]", "make an instance stop gracefully; the called one without INSTANCE", withoutFlags(drain)},
	{"explain", "[-all] ID [FILE...]", "tell what became of a request from instances' logs, or standard input", prepareExplain},
	{"hash", "", "print the hash of the key on standard input", withoutFlags(hash)},
}

// withoutFlags returns a prepare function for a command without flags.
func withoutFlags(a action) func(*flag.FlagSet) action {
	return func(*flag.FlagSet) action { return a }
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := runLine(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// runLine runs one command line and returns the exit code.
func runLine(ctx context.Context, line []string, in io.Reader, out, messages io.Writer) int {
	f := flag.NewFlagSet("snipectl", flag.ContinueOnError)
	f.SetOutput(messages)
	address := f.String("address", "127.0.0.1:7001", "operators' `IP:PORT` of an instance")
	keyFile := f.String("key-file", "", "`file` with the operator's key; else the environment's SNIPECTL_KEY")
	authority := f.String("ca", "", "`file` with the certificates to trust; the connection is then made with TLS")
	asJSON := f.Bool("json", false, "print JSON instead of a table")
	f.Usage = func() { usage(f) }
	if err := f.Parse(line); err != nil {
		return parseExitCode(err)
	}
	c, ok := findCommand(f.Arg(0))
	if !ok {
		usage(f)
		return exitUsage
	}
	inner := flag.NewFlagSet("snipectl "+c.name, flag.ContinueOnError)
	inner.SetOutput(messages)
	inner.Usage = func() { commandUsage(inner, c) }
	run := c.prepare(inner)
	if err := inner.Parse(f.Args()[1:]); err != nil {
		return parseExitCode(err)
	}
	key, err := readKey(*keyFile)
	if err != nil {
		_, _ = fmt.Fprintln(messages, "snipectl:", err)
		return exitUsage
	}
	api, err := newClient(*address, key, *authority)
	if err != nil {
		_, _ = fmt.Fprintln(messages, "snipectl:", err)
		return exitUsage
	}
	api.json, api.in, api.out, api.messages = *asJSON, in, out, messages
	if err := run(ctx, api, inner.Args()); err != nil {
		_, _ = fmt.Fprintln(messages, "snipectl:", err)
		return exitCode(err)
	}
	return 0
}

// parseExitCode returns the exit code for an error of flag parsing: 0 if the
// command line requests help.
func parseExitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	return exitUsage
}

func findCommand(name string) (command, bool) {
	for _, c := range commands {
		if c.name == name {
			return c, true
		}
	}
	return command{}, false
}

func usage(f *flag.FlagSet) {
	out := f.Output()
	_, _ = fmt.Fprintln(out, "usage: snipectl [flags] COMMAND [arguments]")
	for _, c := range commands {
		_, _ = fmt.Fprintf(out, "  %-10s %s\n", c.name, c.about)
	}
	_, _ = fmt.Fprintln(out, "flags:")
	f.PrintDefaults()
	_, _ = fmt.Fprintln(out, "exit codes: 0 done, 1 failed, 2 bad arguments, 3 conflict, 4 refused, 5 outcome unknown,")
	_, _ = fmt.Fprintln(out, "            6 accepted but not yet in force everywhere, 7 the branches differ")
}

func commandUsage(f *flag.FlagSet, c command) {
	out := f.Output()
	_, _ = fmt.Fprintf(out, "usage: snipectl [flags] %s %s\n%s\n", c.name, c.arguments, c.about)
	f.PrintDefaults()
}

// readKey returns the operator's key from the file, or from the environment if
// file is empty.
func readKey(file string) (string, error) {
	if file == "" {
		return os.Getenv("SNIPECTL_KEY"), nil
	}
	data, err := os.ReadFile(file)
	return strings.TrimSpace(string(data)), err
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.Is(err, errUnknown):
		return exitUnknown
	}
	var t twirp.Error
	if !errors.As(err, &t) {
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
