package snipegateway

import (
	"math"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

// endFields returns the fields of the log line about the request's end.
func (c *call) endFields(err error, outcome string, took time.Duration) snipelog.Fields {
	fields := snipelog.Fields{
		requestField: c.ID, "Outcome": outcome, "Status": c.status, "Milliseconds": took.Milliseconds(),
		"Tried": slices.Clone(c.tried), "Ran": c.mayHaveRun,
	}
	if err != nil && c.reached > 0 {
		fields["Reused"] = c.reused
	}
	if c.retryDenial != retryAllowed {
		fields["NotSentAgain"] = c.retryDenial
	}
	c.logRoute(fields)
	c.logWorkspace(fields)
	c.logAdapter(fields)
	c.logAnswer(fields)
	c.logHop(fields)
	c.logSoftware(fields)
	c.logFingerprint(fields)
	c.logAdmission(fields)
	return fields
}

// logRoute adds the request's route, and what the choice of its last upstream was based on.
func (c *call) logRoute(fields snipelog.Fields) {
	if c.route == nil {
		return
	}
	fields["Route"], fields["Service"], fields["Catalog"] = c.route.Name, c.service, c.catalog.Version
	fields["DirectoryAge"] = c.directoryAge().Milliseconds()
	fields["TargetMilliseconds"] = c.route.Target.Milliseconds()
	fields["PauseTargetMilliseconds"] = c.route.MaxGap.Milliseconds()
	fields["Busy"], fields["Holders"] = roundHundredths(c.busy), c.holders
	c.addExpectation(fields)
}

// logWorkspace adds the workspace with the request's cost, and the version by which its key was checked again.
func (c *call) logWorkspace(fields snipelog.Fields) {
	if c.checkedVersion > 0 {
		fields["CheckedCatalog"] = c.checkedVersion
	}
	if c.workspace != nil {
		fields["Workspace"], fields["Asked"], fields["Units"] = c.workspace.Name, c.cost, c.units
	}
}

// logAdapter adds the adapter, how long the request waited for it, and its tokens.
func (c *call) logAdapter(fields snipelog.Fields) {
	if c.Adapter.Model == "" {
		return
	}
	fields["Adapter"], fields["Version"] = c.Adapter.Name, c.version
	fields["WaitedMilliseconds"] = c.waited.Milliseconds()
	fields["PromptTokens"], fields["OutputTokens"] = c.PromptTokens, c.OutputTokens
}

// logAnswer adds how the answer was framed, when it began and its longest pause.
func (c *call) logAnswer(fields snipelog.Fields) {
	if c.framing != "" {
		fields["Framing"], fields["Leftover"] = c.framing, c.leftover
	}
	if c.firstAt.IsZero() {
		return
	}
	fields["FirstMilliseconds"] = c.firstAt.Sub(c.arrived).Milliseconds()
	fields["PauseMilliseconds"] = c.longestPause.Milliseconds()
}

// logFingerprint adds the fingerprint of the request, or of the part of its prompt for which it is refused, to the
// line of its end.
func (c *call) logFingerprint(fields snipelog.Fields) {
	switch {
	case c.blamedPart != nil:
		fields["Fingerprint"], fields["Part"] = c.blamedPart.String(), true
	case c.digest != nil:
		fields["Fingerprint"] = c.digest.String()
	}
}

// logAdmission adds the fields of permits, and of a brittle service, to the line of the request's end.
func (c *call) logAdmission(fields snipelog.Fields) {
	if b, brittle := c.gateway.Brittle.Get(c.service); brittle {
		fields["Brittle"], fields["MaxRefusals"] = true, b.MaxRefusals
	}
	if c.admission.asked {
		fields["PermitMilliseconds"], fields["Coordinator"] = c.admission.waited.Milliseconds(), c.admission.coordinator
	}
}

// directoryAge returns the time since the directory of upstreams was read; zero if it never was.
func (c *call) directoryAge() time.Duration {
	s := c.gateway.Chooser.Directory.Snapshot()
	if s == nil {
		return 0
	}
	return time.Since(s.Read)
}

func roundHundredths(x float64) float64 { return math.Round(100*x) / 100 }
