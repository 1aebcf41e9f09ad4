// Package snipequota enforces the quotas of workspaces over all instances together.
//
// Design. One instance, the issuer, keeps a token bucket for each workspace. The bucket fills at
// the rate of the quota up to its burst. The issuer grants units to the instances ahead of their
// use, according to the demand at each. An instance takes the units of its requests from its grants
// without a message, and asks for more before they run out, for all workspaces at once. A grant
// that is not used expires after a while, and its units return to the bucket.
//
// An instance that cannot reach an issuer continues with its share of the rate. The issuer has
// reported this share to it, and computes it from the demand at the instance. The issuer withholds the
// shares of the instances that do not contact it, so that all instances together stay within the
// quota, whichever of them reach which.
//
// Invariants:
//
//   - In any span of time, an issuer grants no more than the rate times that time and the burst,
//     less the shares of the instances that do not contact it.
//   - An instance stops using its share within a lease of its last contact, before the issuer stops
//     withholding that share.
//   - Use that no instance can count (use before all instances were killed, grants of an issuer
//     that is gone, use without a share) stays within Bounds.Overrun and Bounds.Slack. One half of
//     these is for issuers that start, the other half for instances without an issuer.
//
// The alternatives that were considered are in docs/design/shifted-work.md.
package snipequota

import (
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

const (
	// grantLife is how long a grant may be used: long enough for several requests of a workspace
	// that sends few.
	grantLife = 3 * time.Second
	// lease is how long after its last contact with an issuer an instance may use its share.
	lease = 14 * time.Second
	// contactTimeout is how long an instance may be without contact before the issuer withholds its
	// share: several report intervals.
	contactTimeout = 2500 * time.Millisecond
	// reportInterval is the longest time between two reports of an instance.
	reportInterval = time.Second
)

// Bounds limit how far the use by all instances together may exceed a quota.
type Bounds struct {
	// Span is the length of the window over which use is counted.
	Span time.Duration
	// Overrun is the fraction of the quota of a window by which use may exceed it. Slack is the
	// number of units by which use may exceed it in addition.
	Overrun float64
	Slack   float64
}

// Over returns how many units beyond a quota may be used within a window.
func (b Bounds) Over(q snipecatalog.Quota) float64 {
	return b.Overrun*(q.PerSecond*b.Span.Seconds()+q.Burst) + b.Slack
}

// Ask is a request of an instance to the issuer for units of one workspace.
type Ask struct {
	Workspace string
	// Need is the number of units that waiting requests need, First the number that the first of
	// them needs, and Ahead the number that may be granted in addition, ahead of use.
	Need, First, Ahead float64
	// Held is the number of units left of previous grants.
	Held float64
	// FallbackUsed is the number of units used without an issuer since the last answer of one.
	FallbackUsed float64
	// Demand is the rate of arriving requests, in units per second.
	Demand float64
	// Level is the level of the bucket that an issuer last reported, and Age the time since then.
	// Both are set only if Known is true.
	Level      float64
	LevelAge   time.Duration
	LevelKnown bool
}

// Grant is the answer to an Ask.
type Grant struct {
	Workspace string
	Units     float64
	// Share is the fraction of the rate that the instance may use while it reaches no issuer.
	Share float64
	// Wait is the time until units are available again, if fewer units were granted than needed.
	Wait time.Duration
	// Level is the level of the bucket after the grant.
	Level float64
}
