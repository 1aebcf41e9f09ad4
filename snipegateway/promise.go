package snipegateway

import (
	"net/http"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

// promisesFalsely reports whether an upstream's own status must not reach the caller: callers take it for the promise that
// the request has not run, and repeat it, though it must run only once and the upstream has not stated that it has not.
func (c *call) promisesFalsely(status int) bool {
	return !c.route.MayRepeat() && promisesNotRun(status)
}

// promisesNotRun reports whether callers take a status for the promise that the request has not run, and repeat it even if
// it must run only once.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// discardAnswer logs that an answer does not go to the caller, and returns the attempt's error.
func (c *call) discardAnswer(id string, status int, kind error, reason string) error {
	c.gateway.Log.Log(snipelog.AnswerDiscarded, snipelog.Fields{
		requestField: c.ID, upstreamField: id, "Status": status, "Reason": reason,
	})
	return snipeerror.New(kind, snipeerror.MayHaveRun, reason)
}
