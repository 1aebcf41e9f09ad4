// Package snipequota enforces the quotas of workspaces over all instances together.
//
// Design. A quota counts units, which are requests or tokens. One instance, the issuer, keeps a
// token bucket for each workspace. The bucket fills at the rate of the quota up to its burst. The
// issuer grants units to the instances ahead of their use, according to the demand at each. An
// instance takes the units of its requests from its grants without a message, and asks for more
// before they run out, for all workspaces at once. A grant that is not used expires after a while.
// The units that instances hold count towards the burst, so the bucket fills up again once a grant
// was used or has expired.
//
// An instance that cannot reach an issuer continues with its share of the rate, which is a fraction
// that the issuer computes from the demand at the instance and reports with each grant, and with a
// fixed reserve (see Bounds). The issuer withholds the shares of the instances that do not contact
// it: its buckets fill more slowly by these shares, so that all instances together stay within the
// quota, whichever of them reach which.
//
// Invariants:
//
//   - In any span of time, an issuer grants no more than the rate times that time and the burst,
//     less the shares of the instances that do not contact it. One request larger than the level of
//     the bucket may exceed this; nothing more is granted until the rate has made up for it.
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
	// lease is the time after an instance's last contact (its last call to the issuer) at which the
	// issuer stops withholding the share of the instance. The instance itself stops using its share
	// leaseMargin earlier.
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
	// Need is the number of units that waiting requests need, FirstNeed the number that the first of
	// them needs, and AheadOfUse the number that may be granted in addition, ahead of use.
	Need, FirstNeed, AheadOfUse float64
	// Held is the number of units left of previous grants; negative after requests that ran again
	// and exceeded the grants.
	Held float64
	// FallbackUsed is the number of units used without an issuer since the last answer of one.
	FallbackUsed float64
	// Demand is the rate of arriving requests, in units per second.
	Demand float64
	// Level is the level of the bucket that an issuer last reported, and LevelAge the time since
	// then. Both are set only if LevelKnown is true.
	Level      float64
	LevelAge   time.Duration
	LevelKnown bool
}

// Grant is the answer to an Ask. Units may be zero.
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
