package snipegateway

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// maxSends bounds the upstreams that receive a request, including those that refuse it without
	// running it.
	maxSends = 4
	// maxTries bounds the upstreams that are tried, including those that cannot be connected to: a
	// quarter of all upstreams may have just failed.
	maxTries = 12
)

// retryDenial is why a request is not sent again, as a value of the log field NotSentAgain.
type retryDenial string

// The reasons not to send a request again.
const (
	// retryAllowed is no reason: the request is sent again.
	retryAllowed retryDenial = ""
	// retryUseless stands for a failure that another upstream would not avoid.
	retryUseless retryDenial = "Useless"
	// retryLate stands for too little time left, or a caller that has disconnected.
	retryLate retryDenial = "Late"
	// retryAttemptsUsed stands for the bounds on the attempts of one request.
	retryAttemptsUsed retryDenial = "Attempts"
	// retryUnsafe stands for a request that may have run, or whose answer has begun, and that must not
	// be repeated.
	retryUnsafe retryDenial = "Unsafe"
	// retryStillRuns stands for a stream that the upstream of an earlier attempt may still work on.
	retryStillRuns retryDenial = "StillRuns"
	// retryBudgetUsed stands for the retry budget of the service.
	retryBudgetUsed retryDenial = "Budget"
	// retryAtSender stands for a request that came by a hop: its sender decides about another attempt.
	retryAtSender retryDenial = "Sender"
)

// decideRetry returns why the request is not sent again after an attempt that ended with err, or
// retryAllowed. It reserves a retry from the service's retry budget, unless no upstream has received the
// request.
func (c *call) decideRetry(ctx context.Context, err error) retryDenial {
	f := snipeerror.From(err)
	switch {
	case errors.Is(f, snipeerror.ErrUnauthenticated), errors.Is(f, snipeerror.ErrUnavailable), errors.Is(f, snipeerror.ErrQuarantined), c.tooLarge, c.gateway.Stop.TooLate(&c.stop):
		return retryUseless
	case ctx.Err() != nil, time.Until(c.deadline) < minTimeLeft:
		return retryLate
	case c.hop != nil && c.reached > 0:
		return retryAtSender
	case c.reached >= maxSends, len(c.tried) >= maxTries:
		return retryAttemptsUsed
	case c.stillRuns():
		return retryStillRuns
	case c.mustNotRepeat(f):
		return retryUnsafe
	case c.mayHaveRun >= c.route.MaxAttempts:
		return retryAttemptsUsed
	case c.reached == 0:
		// No upstream has received the request, so sending it is no retry for any of them and needs
		// no budget.
		return retryAllowed
	}
	if c.retryReserved = c.gateway.Budget(c.service).Reserve(); !c.retryReserved {
		c.countRetry("Refused")
		return retryBudgetUsed
	}
	return retryAllowed
}

// mustNotRepeat reports whether the request may have run, or its answer has begun, and must not be repeated
// therefore.
func (c *call) mustNotRepeat(f *snipeerror.CallError) bool {
	if f.Outcome == snipeerror.MayHaveRun && (!c.route.MayRepeat() || c.suspect()) {
		return true
	}
	return c.answerStarted && !c.canResume()
}

// errBudgetUsed reports that a reserved retry was not sent because it would exceed the budget by now.
var errBudgetUsed = errors.New("the retry budget is used up")

// spendRetry charges the reserved retry, if there is one, right before it is sent: it may have waited
// for an adapter, a permit or a connection, and counts from now on. It returns errBudgetUsed if the
// budget no longer permits it.
func (c *call) spendRetry() error {
	if !c.retryReserved {
		return nil
	}
	c.retryReserved = false
	if !c.gateway.Budget(c.service).Spend() {
		c.countRetry("Refused")
		return errBudgetUsed
	}
	c.retrySpent = true
	return nil
}

// settleRetry counts the retry of the attempt that has ended, if it was one. A retry that reached no
// upstream is returned to the budget; reached is the value of c.reached before the attempt.
func (c *call) settleRetry(reached int) {
	budget := c.gateway.Budget(c.service)
	switch {
	case c.retryReserved:
		budget.Release()
	case c.retrySpent && c.reached == reached:
		budget.Refund()
	case c.retrySpent:
		c.countRetry("Sent")
	}
	c.retryReserved, c.retrySpent = false, false
}

// countRetry counts a retry that was sent, or that the budget refused.
func (c *call) countRetry(outcome string) {
	c.gateway.Meter.Count("snipepitch_retries_total{service=" + strconv.Quote(c.service) + ",outcome=" + strconv.Quote(outcome) + "}")
}
