package main

import (
	"context"

	"snipepitch.example/snipepitch/snipeproto"
)

func drain(ctx context.Context, c *client, arguments []string) error {
	name, err := optional(arguments)
	if err != nil {
		return err
	}
	_, err = c.operator.Drain(ctx, &snipeproto.DrainRequest{Instance: name})
	return err
}
