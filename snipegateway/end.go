package snipegateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
)

// finalError returns the error that ends the request after err, or delivers the fallback answer if
// there is one. If no upstream ran the request, the error states so and carries a retry time. If an
// upstream had no free slot, the retry time is derived from the latency target, because the
// upstream has a free slot again within that time.
func (c *call) finalError(err error) error {
	if c.fallback != nil && !c.answerStarted {
		return c.writeBuffered(c.fallback)
	}
	f := snipeerror.From(err)
	if c.mayHaveRun > 0 {
		f = snipeerror.New(f.Kind, snipeerror.MayHaveRun, f.Reason)
	}
	// A retry time from the upstreams' own signals is more accurate than one derived from the
	// target.
	stated := (errors.Is(f, snipeerror.ErrOverloaded) || errors.Is(f, snipeerror.ErrQuarantined)) && f.RetryAfter > 0
	if f.Outcome == snipeerror.NotRun && !stated && !errors.Is(f, snipeerror.ErrNotResumable) && (f.RetryAfter == 0 || c.fullUpstreams > 0) {
		f = f.After(c.retryAfter())
	}
	return f
}

// retryAfter returns when a caller should retry a refused request: after half to all of the route's
// latency target, or of 200 ms if the target is lower. The jitter prevents callers that are refused
// together from returning together.
func (c *call) retryAfter() time.Duration {
	target := max(c.route.Target, 200*time.Millisecond)
	return target/2 + time.Duration(c.jitter()*float64(target)/2)
}

// writeError writes an error of this instance to the caller. Its status is 502 or 504 if the
// request may have run; if the request has not run, 503 takes the place of these two.
func (c *call) writeError(f *snipeerror.CallError) {
	status := f.Status()
	if f.Outcome == snipeerror.MayHaveRun {
		status = statusMayHaveRun(status)
	} else if status == http.StatusGatewayTimeout || status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	h := c.writer.Header()
	if c.ID != "" {
		c.gateway.Protocol.Sign(h, c.ID)
	}
	c.setHopResult(false)
	c.closeWhenStopping()
	h.Set("Content-Type", "application/json")
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if f.RetryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.status = status
	c.writer.WriteHeader(status)
	// The write error is ignored: the caller may have disconnected.
	_, _ = c.writer.Write(f.Encode(c.ID))
}

// closeWhenStopping tells the caller, in the header of the answer, that the connection ends with it once a planned stop has begun.
func (c *call) closeWhenStopping() {
	if c.gateway.Stop.Begun() {
		c.writer.Header().Set("Connection", "close")
	}
}

// statusMayHaveRun returns the status for a request that may have run, which must not be a status
// that implies that it has not.
func statusMayHaveRun(status int) int {
	switch status {
	case http.StatusGatewayTimeout:
		return status
	default:
		return http.StatusBadGateway
	}
}

// recordEnd logs the end of the request and counts it in the metrics. A request whose caller has
// disconnected counts as abandoned, whatever err is.
func (c *call) recordEnd(err error) {
	event, outcome := c.endEvent(err)
	took := time.Since(c.arrived)
	c.countRefusedStream(err)
	if c.hop != nil {
		event = snipelog.HopEnded
		c.countServedHop(outcome)
	} else {
		c.observeEnd(outcome, took)
	}
	fields := c.endFields(err, outcome, took)
	if err != nil {
		c.gateway.Log.Error(event, err, fields)
		return
	}
	c.gateway.Log.Log(event, fields)
}

// observeEnd counts the end of a caller's request in the metrics.
func (c *call) observeEnd(outcome string, took time.Duration) {
	m := c.gateway.Meter
	route := "none"
	if c.route != nil {
		route = c.route.Name
	}
	if !c.firstAt.IsZero() {
		m.Observe(snipemeter.FirstChunk, route, outcome, c.firstAt.Sub(c.arrived))
	}
	if c.waited > 0 {
		m.Observe(snipemeter.LoadStall, route, outcome, c.waited)
	}
	m.Observe(snipemeter.CallDuration, route, outcome, took)
	if c.framing != "" {
		m.Count("snipepitch_answers_total{framing=" + strconv.Quote(string(c.framing)) + ",outcome=" + strconv.Quote(outcome) + "}")
	}
	c.countWorkspace(outcome)
}

// endEvent returns the event and the outcome of the request's end.
func (c *call) endEvent(err error) (event snipelog.Event, outcome string) {
	switch {
	case c.callerLeft() && !c.pressure.Ended():
		return snipelog.RequestAbandoned, "Abandoned"
	case err != nil && snipeerror.From(err).Outcome == snipeerror.NotRun:
		return snipelog.RequestRefused, "Refused"
	case err != nil:
		return snipelog.RequestFailed, "Failed"
	}
	return snipelog.RequestEnded, "Answered"
}
