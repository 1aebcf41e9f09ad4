package snipeinstance

import (
	"context"
	"crypto/rand"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeclaim"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/sniperetry"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// sweepInterval is the time between two partitions that an instance sweeps.
	sweepInterval = 10 * time.Second
	// claimTimeout bounds each step of a claim before the call is dispatched.
	claimTimeout = 2 * time.Second
)

// buildClaims makes the attempts of a go through the claims, which are the rows that reserve a
// request key for one call, and returns the function that executes a call.
func (i *Instance) buildClaims(
	guard *snipeplatform.Guard, a *sniperetry.Retrier,
) func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	i.claims = &snipeclaim.Claims{
		Table: guard.For(snipeplatform.Claims), SweepTable: guard.For(snipeplatform.Sweeps), Instance: i.Config.Name, Serve: a.Serve, Dispatch: a.Execute,
		IsLive: i.live, SweepsPartition: i.sweepsPartition, SweepInterval: sweepInterval, Timeout: claimTimeout,
		Operation: rand.Text, Log: i.Log,
	}
	a.Execute = i.claims.Execute
	return i.claims.Call
}

// live reports whether the membership considers an instance alive.
func (i *Instance) live(name string) bool {
	m, ok := i.members.Member(name)
	return ok && m.Live()
}

// sweepsPartition reports whether this instance has the highest score of all live instances for a
// partition. Instances that disagree on which members are live may both sweep a partition, which
// costs one extra write.
func (i *Instance) sweepsPartition(partition string) bool {
	key := sniperoute.Hash(partition)
	own := sniperoute.Score(key, sniperoute.Hash(i.Config.Name))
	for _, m := range i.members.Members() {
		if m.Live() && sniperoute.Score(key, sniperoute.Hash(m.Name)) > own {
			return false
		}
	}
	return true
}

// tableRequests is the number of requests per second that all instances together may make to the
// table for claims and sweeps. Requests for leases and settings count too but are never refused.
const tableRequests = 1000

// tableShare returns this instance's share of tableRequests, an equal one for each live instance.
func (i *Instance) tableShare() float64 {
	live := 0
	for _, m := range i.members.Members() {
		if m.Live() {
			live++
		}
	}
	return tableRequests / float64(max(live, 1))
}
