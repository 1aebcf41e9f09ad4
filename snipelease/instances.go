package snipelease

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// ReadInstances returns the instances that have a lease row, whether their lease is valid or not.
// Rows that cannot be decoded are left out.
func ReadInstances(ctx context.Context, table snipeplatform.Table) ([]Instance, error) {
	rows, err := table.List(ctx, instancesPartition)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	var all []Instance
	for _, r := range rows {
		var i Instance
		if err := json.Unmarshal(r.Data, &i); err == nil {
			all = append(all, i)
		}
	}
	return all, nil
}
