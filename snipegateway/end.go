package snipegateway

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
)

// giveUp returns the final failure. One that nothing may have run says so, with
// the time to come back: a queue that was full has room again within the objective.
func (c *call) giveUp(err error) error {
	if c.spare != nil && !c.begun {
		return c.deliver(c.spare)
	}
	f := snipeerror.From(err)
	if c.ran > 0 {
		f = snipeerror.New(f.Kind, snipeerror.MayHaveRun, f.Reason)
	}
	// What upstreams have said themselves is truer than the time in which a queue has room again.
	said := errors.Is(f, snipeerror.ErrOverloaded) && f.RetryAfter > 0
	if f.Outcome == snipeerror.NotRun && !said && (f.RetryAfter == 0 || c.full > 0) {
		f = f.After(c.comeBack())
	}
	return f
}

// comeBack is when a refused request is worth sending again: after a share of its
// objective, spread so that those refused together do not return together.
func (c *call) comeBack() time.Duration {
	target := max(c.route.Target, 200*time.Millisecond)
	return target/2 + time.Duration(c.spread()*float64(target)/2)
}

// refuse writes a failure of this instance's own.
func (c *call) refuse(f *snipeerror.CallError) {
	status := f.Status()
	if f.Outcome == snipeerror.MayHaveRun {
		status = afterRun(status)
	} else if status == http.StatusGatewayTimeout || status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	h := c.writer.Header()
	if c.ID != "" {
		c.gateway.Protocol.Sign(h, c.ID)
	}
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.status = status
	c.writer.WriteHeader(status)
	// The caller may have gone away; there is nobody to tell.
	_, _ = c.writer.Write(f.Encode(c.ID))
}

// afterRun returns the status for a request that may have run: never one that
// promises that it has not.
func afterRun(status int) int {
	switch status {
	case http.StatusGatewayTimeout:
		return status
	default:
		return http.StatusBadGateway
	}
}

// tell logs the end of the request and counts it.
func (c *call) tell(err error) {
	event := snipelog.RequestEnded
	outcome := "Answered"
	switch {
	case c.request.Context().Err() != nil:
		event, outcome = snipelog.RequestAbandoned, "Abandoned"
	case err != nil && snipeerror.From(err).Outcome == snipeerror.NotRun:
		event, outcome = snipelog.RequestRefused, "Refused"
	case err != nil:
		event, outcome = snipelog.RequestFailed, "Failed"
	}
	took := time.Since(c.arrived)
	fields := snipelog.Fields{
		requestName: c.ID, "Outcome": outcome, "Status": c.status, "Milliseconds": took.Milliseconds(),
		"Tried": slices.Clone(c.tried), "Ran": c.ran,
	}
	name := "none"
	if c.route != nil {
		name = c.route.Name
		fields["Route"], fields["Service"], fields["Catalog"] = name, c.service, c.catalog.Version
		fields["DirectoryAge"] = c.directoryAge().Milliseconds()
		fields["TargetMilliseconds"] = c.route.Target.Milliseconds()
		fields["PauseTargetMilliseconds"] = c.route.MaxGap.Milliseconds()
		fields["Busy"], fields["Holders"] = math.Round(100*c.busy)/100, c.holders
	}
	if c.workspace != nil {
		fields["Workspace"], fields["Asked"], fields["Units"] = c.workspace.Name, c.asked, c.units
	}
	if c.Adapter.Model != "" {
		fields["Adapter"], fields["Version"] = c.Adapter.Name, c.version
		fields["WaitedMilliseconds"] = c.waited.Milliseconds()
		fields["PromptTokens"], fields["OutputTokens"] = c.PromptTokens, c.OutputTokens
	}
	if !c.firstAt.IsZero() {
		first := c.firstAt.Sub(c.arrived)
		fields["FirstMilliseconds"] = first.Milliseconds()
		fields["PauseMilliseconds"] = c.longestPause.Milliseconds()
		c.gateway.Meter.Observe(snipemeter.FirstChunk, name, outcome, first)
	}
	if c.waited > 0 {
		c.gateway.Meter.Observe(snipemeter.LoadStall, name, outcome, c.waited)
	}
	c.gateway.Meter.Observe(snipemeter.CallDuration, name, outcome, took)
	c.countWorkspace(outcome)
	if err != nil {
		c.gateway.Log.Error(event, err, fields)
		return
	}
	c.gateway.Log.Log(event, fields)
}

// directoryAge is how old the knowledge of upstreams is.
func (c *call) directoryAge() time.Duration {
	s := c.gateway.Chooser.Directory.Snapshot()
	if s == nil {
		return 0
	}
	return time.Since(s.Read)
}
