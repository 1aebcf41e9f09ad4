// Package snipelimit decides how much work is admitted: of a team at an
// instance (Teams), and of all teams at an upstream (Queue).
//
// Design. A team's limit holds for the deployment; each instance enforces a
// share of it, by the demand that the instances announce. At an upstream, on
// the instance that owns it, calls beyond a limit that adapts itself wait in a
// queue that is fair among teams and lets urgent classes pass.
//
// Invariants:
//
//   - Nothing waits without bound: queues are bounded, and a call that cannot
//     be served before its deadline is refused at once, as NotRun, with the time
//     in which the queue ahead of it drains.
//   - Where calls of several teams wait in one class, the team with the fewest
//     calls under way comes next: a storm of one team fills what the others
//     leave free and no more.
//   - A full queue refuses, or pushes out, the newest call of the team that
//     waits with the most.
//   - A refusal for a team's own excess is ErrLimited, never ErrOverloaded: it
//     must not make others leave the upstream alone.
package snipelimit

import (
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// Bounds of what a refused caller is told to wait.
const (
	minRetry = time.Second
	maxRetry = time.Minute
)

// limited returns the refusal of a call for its team's excess.
func limited(c *snipecall.Call, reason string, retry time.Duration) error {
	reason = "team " + c.Team + ", class " + c.Class.String() + ": " + reason
	return snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, reason).After(min(max(retry, minRetry), maxRetry))
}
