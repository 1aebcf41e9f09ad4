package snipeentry

import (
	"strconv"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
)

// decisionLog logs and counts the decisions about one service. It is safe for concurrent use.
type decisionLog struct {
	Service string
	Log     *snipelog.Logger
	Meter   *snipemeter.Meter

	lines snipelog.Limiter
}

// record logs and counts a decision. Grants are neither logged nor counted here.
func (d *decisionLog) record(n snipeadmission.Decision) {
	if n.Event == snipeadmission.EventGranted {
		return
	}
	d.count(n)
	suppressed, ok := d.lines.Admit(time.Now())
	if !ok {
		return
	}
	fields := snipelog.Fields{
		serviceField: d.Service, "Waiting": n.Waiting, "LoadAgeMilliseconds": loadAge(n.LoadAge), "Suppressed": suppressed,
	}
	switch n.Event {
	case snipeadmission.EventRefused:
		fields["ExpectedMilliseconds"] = n.ExpectedWait.Milliseconds()
		fields["Holder"], fields["Priority"], fields["Workspace"] = n.Request.Instance, n.Request.Priority, n.Request.Workspace
		if n.Refusal != nil {
			fields["Reason"], fields["RetryMilliseconds"] = n.Refusal.Reason.String(), n.Refusal.RetryAfter.Milliseconds()
		}
		d.Log.Log(snipelog.PermitRefused, fields)
	case snipeadmission.EventExpired:
		fields["Holder"], fields["Upstream"] = n.Request.Instance, n.Permit.Upstream
		d.Log.Log(snipelog.PermitExpired, fields)
	case snipeadmission.EventOpened:
		fields["Fence"], fields["Adopted"], fields["Unknown"], fields["AfterMilliseconds"] = n.Fence, n.Adopted, n.Unknown, n.Waited.Milliseconds()
		d.Log.Log(snipelog.LendingBegun, fields)
	case snipeadmission.EventPaused:
		fields["Upstream"], fields["PauseMilliseconds"] = n.Permit.Upstream, n.Pause.Milliseconds()
		d.Log.Log(snipelog.UpstreamPaused, fields)
	}
}

// count counts a decision in the metrics.
func (d *decisionLog) count(n snipeadmission.Decision) {
	switch n.Event {
	case snipeadmission.EventRefused:
		d.Meter.Count("snipepitch_admission_refused_total{service=" + strconv.Quote(d.Service) + "}")
	case snipeadmission.EventExpired:
		d.Meter.Count("snipepitch_admission_expired_total{service=" + strconv.Quote(d.Service) + "}")
	}
}

// loadAge returns an age in milliseconds, or -1 if there is none.
func loadAge(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
