package main

import (
	"context"
	"encoding/json"
	"flag"
	"maps"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeproto"
)

// branchOutput is a branch as -json prints it.
type branchOutput struct {
	Revision, Version uint64
	Document          json.RawMessage `json:",omitempty"`
	Teams             []string        `json:",omitempty"`
}

// prepareDiff declares the flags of diff and returns its action, which returns
// errDiffers if the branch in force differs from the input.
func prepareDiff(f *flag.FlagSet) action {
	team := f.String("team", "", "the branch; the platform's when empty")
	return func(ctx context.Context, c *client, arguments []string) error {
		data, err := c.readInput(arguments)
		if err != nil {
			return err
		}
		out, err := c.operator.GetSettings(ctx, &snipeproto.GetSettingsRequest{Team: *team})
		if err != nil {
			return err
		}
		lines, err := compare(out.GetDocument(), data)
		if err != nil {
			return err
		}
		if c.json {
			err = c.printJSON(lines)
		} else {
			err = c.printLines(lines)
		}
		if err != nil || len(lines) == 0 {
			return err
		}
		return errors.Wrapf(errDiffers, "%d places, version %d is in force", len(lines), out.GetVersion())
	}
}

// difference is one value that differs between two branches.
type difference struct {
	// Path names the value. Old and New are its JSON in both branches, empty
	// where the branch has no such value.
	Path     string
	Old, New string `json:",omitempty"`
}

func (c *client) printLines(lines []difference) error {
	for _, d := range lines {
		if d.Old != "" {
			if err := c.print("- %s: %s\n", d.Path, d.Old); err != nil {
				return err
			}
		}
		if d.New != "" {
			if err := c.print("+ %s: %s\n", d.Path, d.New); err != nil {
				return err
			}
		}
	}
	return nil
}

// compare returns the values that differ between two documents, in the order of
// their paths. An empty document has no values.
func compare(before, after []byte) ([]difference, error) {
	a, err := values(before)
	if err != nil {
		return nil, errors.Wrap(err, "branch in force")
	}
	b, err := values(after)
	if err != nil {
		return nil, errors.Wrap(err, "file")
	}
	paths := maps.Clone(a)
	maps.Copy(paths, b)
	var all []difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if a[path] != b[path] {
			all = append(all, difference{Path: path, Old: a[path], New: b[path]})
		}
	}
	return all, nil
}

// values returns the JSON of each leaf value of a document by its path.
func values(data []byte) (map[string]string, error) {
	all := map[string]string{}
	if len(data) == 0 {
		return all, nil
	}
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return all, flatten(all, "", document)
}

// flatten adds the JSON of each leaf under value to all, by its path.
func flatten(all map[string]string, path string, value any) error {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			if err := flatten(all, join(name), inner); err != nil {
				return err
			}
		}
		return nil
	case []any:
		for n, inner := range v {
			if err := flatten(all, join(strconv.Itoa(n)), inner); err != nil {
				return err
			}
		}
		return nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	all[path] = string(text)
	return nil
}
