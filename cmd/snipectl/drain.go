package main

import (
	"context"

	"snipepitch.example/snipepitch/snipeproto"
)

// drain makes the named instance stop gracefully, or without a name the instance that
// the client calls.
func drain(ctx context.Context, c *client, arguments []string) error {
	name, err := optionalArgument(arguments)
	if err != nil {
		return err
	}
	_, err = c.operator.Drain(ctx, &snipeproto.DrainRequest{Instance: name})
	return err
}
