package main

import (
	"context"

	"snipepitch.example/snipepitch/snipeproto"
)

// drain stops the named instance gracefully, or the called one without a name.
func drain(ctx context.Context, c *client, arguments []string) error {
	name, err := optionalArgument(arguments)
	if err != nil {
		return err
	}
	_, err = c.operator.Drain(ctx, &snipeproto.DrainRequest{Instance: name})
	return err
}
