package snipeclaim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// sweepMargin is how far the clocks of instances may differ: a row is deleted only
	// once it has been expired for that long.
	sweepMargin = time.Hour
	// sweepBatch bounds the rows deleted by one write.
	sweepBatch = 25
)

// Run sweeps expired claims until ctx ends. It sweeps one partition with at most one
// write in each interval, so that the write rate of all instances together is at most
// their number divided by the interval.
func (s *Claims) Run(ctx context.Context) error {
	return snipetime.Every(ctx, s.SweepInterval, func(ctx context.Context) {
		if err := s.sweep(ctx); err != nil && ctx.Err() == nil {
			s.Log.Error(snipelog.SweepFailed, err, nil)
		}
	})
}

// nextPartition returns the next partition that this instance sweeps, or false if there
// is none.
func (s *Claims) nextPartition() (string, bool) {
	for range partitions {
		s.cursor = (s.cursor + 1) % partitions
		if name := partitionName(s.cursor); s.SweepsPartition(name) {
			return name, true
		}
	}
	return "", false
}

// sweep deletes up to sweepBatch expired rows of the next partition. Rows that cannot be
// decoded are kept.
func (s *Claims) sweep(ctx context.Context) error {
	name, ok := s.nextPartition()
	if !ok {
		return nil
	}
	rows, err := s.SweepTable.List(ctx, name)
	if err != nil {
		return errors.Wrap(err, "list claims")
	}
	var expired []snipeplatform.Change
	for _, row := range rows {
		var r record
		if err := json.Unmarshal(row.Data, &r); err != nil || time.Since(r.Expires) < sweepMargin {
			continue
		}
		if len(expired) < sweepBatch {
			expired = append(expired, snipeplatform.Change{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	if len(expired) == 0 {
		return nil
	}
	if err := s.SweepTable.Write(ctx, s.Operation(), expired); err != nil {
		// The remaining rows are found again in the next round.
		return errors.Wrapf(err, "sweep %d claims", len(expired))
	}
	return nil
}
