package main

import (
	"context"
	"crypto/rand"
	"flag"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
)

// waitInterval is the time between two polls of the instances' revisions.
const waitInterval = 250 * time.Millisecond

// prepareApply declares the flags of apply and returns its action, which replaces the
// document of a branch.
func prepareApply(f *flag.FlagSet) action {
	team := f.String("team", "", "the branch; the platform's when empty")
	version := f.Uint64("version", 0, "version that the branch must have, as show prints it; 0 for a new branch")
	wait := f.Duration("wait", 0, "wait until the edit is in force on every live instance, at most this `time`")
	return func(ctx context.Context, c *client, arguments []string) error {
		data, err := c.readInput(arguments)
		if err != nil {
			return err
		}
		out, err := c.apply(ctx, &snipeproto.ApplySettingsRequest{
			Team: *team, ExpectVersion: *version, Document: data, Edit: rand.Text(),
		})
		if err != nil {
			return err
		}
		return c.reportAccepted(ctx, out.GetRevision(), *wait)
	}
}

// apply sends an edit, and sends it again while its outcome is unknown, at most
// three times in all. The server recognizes the edit by its identifier and never
// makes it twice.
func (c *client) apply(ctx context.Context, in *snipeproto.ApplySettingsRequest) (*snipeproto.ApplySettingsResponse, error) {
	const maxAttempts = 3
	for n := 1; ; n++ {
		out, err := c.operator.ApplySettings(ctx, in)
		if err == nil {
			return out, nil
		}
		if err = editError(err); n == maxAttempts || !errors.Is(err, errUnknown) {
			return nil, err
		}
	}
}

// editError wraps the error of an edit in errUnknown if the edit may have taken
// effect, for example because its answer did not arrive. The error of an edit that
// was refused or never sent is returned as it is.
func editError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return err
	}
	var t twirp.Error
	if errors.As(err, &t) {
		switch t.Code() {
		case twirp.Internal, twirp.Unknown, twirp.Canceled, twirp.DeadlineExceeded:
			return errors.Wrap(errUnknown, err.Error())
		}
	}
	return err
}

// reportAccepted prints the revision of an accepted edit. With a wait above zero
// it first waits until the edit is in force on every live instance.
func (c *client) reportAccepted(ctx context.Context, revision uint64, wait time.Duration) error {
	if wait > 0 {
		if err := c.waitInForce(ctx, revision, wait); err != nil {
			return err
		}
	}
	switch {
	case c.json:
		return c.printJSON(edit{revision, wait > 0})
	case wait > 0:
		return c.print("in force everywhere as revision %d\n", revision)
	}
	return c.print("accepted as revision %d\n", revision)
}

// edit is an accepted edit as -json prints it.
type edit struct {
	Revision uint64
	// InForce is set if -wait was given and every live instance has the revision in
	// force. Without -wait it is false and states nothing.
	InForce bool
}

// waitInForce waits until the revision is in force on every live instance, and
// returns errNotInForce after limit. Failed polls are repeated. It requests the revisions from the instances
// themselves, because the revisions in their lease rows may be older.
func (c *client) waitInForce(ctx context.Context, revision uint64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	behind := []string{"no instance asked yet"}
	for {
		out, err := c.operator.ListInstances(ctx, &snipeproto.ListInstancesRequest{Ask: true})
		if err == nil {
			if behind = lagging(out.GetInstances(), revision); len(behind) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errNotInForce, "revision %d: %s", revision, strings.Join(behind, ", "))
		case <-time.After(waitInterval):
		}
	}
}

// lagging returns the names of the instances that have an older revision than
// the given one, or a placeholder if there are no instances.
func lagging(all []*snipeproto.InstanceState, revision uint64) []string {
	var names []string
	for _, i := range all {
		if i.GetRevision() < revision {
			names = append(names, i.GetName())
		}
	}
	if len(all) == 0 {
		return []string{"no live instance"}
	}
	return names
}
