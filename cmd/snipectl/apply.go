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

// waitPoll is the time between two looks at the instances.
const waitPoll = 250 * time.Millisecond

func prepareApply(f *flag.FlagSet) action {
	team := f.String("team", "", "the branch; the platform's when empty")
	version := f.Uint64("version", 0, "version that the branch must have, as show prints it; 0 for a new branch")
	wait := f.Duration("wait", 0, "wait until the edit is in force on every live instance, at most this `time`")
	return func(ctx context.Context, c *client, arguments []string) error {
		data, err := c.input(arguments)
		if err != nil {
			return err
		}
		out, err := c.apply(ctx, &snipeproto.ApplySettingsRequest{
			Team: *team, ExpectVersion: *version, Document: data, Edit: rand.Text(),
		})
		if err != nil {
			return err
		}
		return c.accepted(ctx, out.GetRevision(), *wait)
	}
}

// apply sends an edit, and sends it again while its outcome is unknown: the
// same edit is never made twice.
func (c *client) apply(ctx context.Context, in *snipeproto.ApplySettingsRequest) (*snipeproto.ApplySettingsResponse, error) {
	const tries = 3
	for n := 1; ; n++ {
		out, err := c.operator.ApplySettings(ctx, in)
		if err == nil {
			return out, nil
		}
		if err = editError(err); n == tries || !errors.Is(err, errUnknown) {
			return nil, err
		}
	}
}

// editError tells an edit that was refused, or never sent, from one whose
// answer did not arrive: that one may have taken effect.
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

// accepted waits until an accepted edit is in force everywhere, if that is
// asked for, and prints its revision.
func (c *client) accepted(ctx context.Context, revision uint64, wait time.Duration) error {
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
	// InForce tells that the revision is in force on every live instance.
	InForce bool
}

// waitInForce waits until every live instance has the revision in force. The
// instances are asked themselves: their lease rows may be older.
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
		case <-time.After(waitPoll):
		}
	}
}

// lagging returns the instances without the revision.
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
