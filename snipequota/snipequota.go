// Package snipequota keeps the quotas of workspaces over all instances together.
//
// Design. One instance, the issuer, has a bucket for each workspace, which fills with the quota's
// rate up to its burst. It grants units to the others ahead of their use, by what arrives at
// them; an instance takes what its requests need from its grants without a message, and asks
// before they run out, for all workspaces at once. What is granted and not used ends after a
// while and goes back to the bucket.
//
// An instance that reaches no issuer goes on with its share of the rate, which the issuer has told
// it and which follows its part of what arrives. The issuer keeps back the shares of those that it
// does not hear, so that all together stay within the quota whoever reaches whom.
//
// Invariants:
//
//   - An issuer grants no more in any time than the rate times that time and the burst, less the
//     shares of the instances that it does not hear.
//   - What an instance may use by its share ends a lease after its last contact, before the issuer
//     ceases to keep it back.
//   - What nobody can know (what was used before all were killed, grants of an issuer that is
//     gone, use without a share) stays within Bounds.Overrun and Bounds.Slack: one half is for
//     issuers that begin, the other for instances without an issuer.
//
// Ways that were weighed stand in docs/design/shifted-work.md.
package snipequota

import (
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

const (
	// life is how long a grant may be used: some requests of a workspace that sends few.
	life = 3 * time.Second
	// lease is for how long after its last contact an instance goes on with its share.
	lease = 14 * time.Second
	// silence is how long an instance may be unheard before its share is kept back: some of
	// its reports.
	silence = 2500 * time.Millisecond
	// reportEvery is the longest time between two reports of an instance.
	reportEvery = time.Second
)

// Bounds are how far use may exceed a quota, which all instances together keep.
type Bounds struct {
	// Span is the window over which use is counted.
	Span time.Duration
	// Overrun is the part of a window's quota by which use may exceed it, Slack how many units
	// beside that.
	Overrun float64
	Slack   float64
}

// Over returns how many units of a window may be used beyond a quota.
func (b Bounds) Over(q snipecatalog.Quota) float64 {
	return b.Overrun*(q.PerSecond*b.Span.Seconds()+q.Burst) + b.Slack
}

// Ask is what an instance asks of an issuer for one workspace.
type Ask struct {
	Workspace string
	// Need is what requests wait for, First what the first of them does, Ahead what may be
	// granted beside.
	Need, First, Ahead float64
	// Held is what is left of former grants.
	Held float64
	// Alone is what was used without an issuer since the last answer.
	Alone float64
	// Demand is how many units arrive in a second.
	Demand float64
	// Level is what an issuer last told of the bucket, Age how long ago; none where Known is
	// false.
	Level float64
	Age   time.Duration
	Known bool
}

// Grant answers an Ask.
type Grant struct {
	Workspace string
	Units     float64
	// Share is the instance's part of the rate while it reaches no issuer.
	Share float64
	// Wait is when there will be room again, where less was granted than is needed.
	Wait time.Duration
	// Level is what the bucket holds.
	Level float64
}
