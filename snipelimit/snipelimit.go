// Package snipelimit implements admission control: Teams limits the calls that
// an instance accepts from each team, and Queue limits the calls that run at an
// upstream.
//
// Design. A team's limit applies to the whole deployment. Each instance enforces
// a share of it, in proportion to the demand that the instances announce. At an
// upstream, on the instance that owns it, an adaptive limit bounds the running
// calls. Further calls wait in a queue that is fair among teams and admits
// urgent classes first.
//
// Invariants:
//
//   - No call waits without bound: queues are bounded, and a call that is not
//     expected to start before its deadline is refused at once. The refusal is
//     NotRun, and its retry delay follows from the time in which the queue ahead
//     of the call drains.
//   - If calls of several teams wait in one class, the team with the fewest
//     running calls is served next, so a team that sends too many calls gets
//     only the capacity that the other teams leave unused.
//   - A full queue refuses the new call, or evicts the newest call of the team
//     with the most waiting calls.
//   - A refusal by this package is ErrLimited, never ErrOverloaded: it must not make
//     instances avoid the upstream.
package snipelimit

import (
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// Bounds of the retry delay in a refusal.
const (
	minRetry = time.Second
	maxRetry = time.Minute
)

// limited returns the ErrLimited refusal of a call. It states retry, clamped to
// [minRetry, maxRetry], as the time after which a retry is worthwhile.
func limited(c *snipecall.Call, reason string, retry time.Duration) error {
	reason = "team " + c.Team + ", class " + c.Class.String() + ": " + reason
	return snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, reason).After(min(max(retry, minRetry), maxRetry))
}
