package snipegateway

import (
	"time"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestop"
)

// stopRetrySpread is the time over which the callers of a stopping instance return, at once but not all together.
const stopRetrySpread = 100 * time.Millisecond

// stopError returns the error of a request that the stop has ended, or keeps from being sent.
func (c *call) stopError() *snipeerror.CallError {
	if c.mayHaveRun > 0 {
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, snipestop.ErrStopped.Error())
	}
	c.declined = c.reached == 0
	wait := time.Duration(c.jitter() * float64(stopRetrySpread))
	return snipeerror.New(snipeerror.ErrStopping, snipeerror.NotRun, snipestop.ErrStopped.Error()).After(wait)
}
