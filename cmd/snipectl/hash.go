package main

import (
	"context"
	"io"
	"strings"

	"snipepitch.example/snipepitch/snipetree"
)

// hash prints the hash of the key on standard input, without surrounding space.
func hash(_ context.Context, c *client, _ []string) error {
	data, err := io.ReadAll(c.in)
	if err != nil {
		return err
	}
	text, err := snipetree.HashKey(strings.TrimSpace(string(data))).MarshalText()
	if err != nil {
		return err
	}
	return c.print("%s\n", text)
}
