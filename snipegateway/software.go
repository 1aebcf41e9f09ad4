package snipegateway

import (
	"slices"
	"strconv"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipesoftware"
)

// noteTried records an upstream that is tried, and the version of its software.
func (c *call) noteTried(id string, software snipesoftware.Version) {
	c.tried, c.software = append(c.tried, id), append(c.software, software)
}

// logSoftware adds to the log fields of a request at which software versions it was tried, and which
// stream it resumes.
func (c *call) logSoftware(fields snipelog.Fields) {
	if len(c.software) > 0 {
		fields["SoftwareTried"] = slices.Clone(c.software)
	}
	if c.LastEvent != "" {
		fields["LastEvent"], fields["Resumes"] = c.LastEvent, c.Resumes
	}
}

// The ways in which a stream is resumed, as values of the label "by" of resumedMetric.
const (
	// resumedByCaller stands for a caller that asks for the rest of a stream.
	resumedByCaller = "Caller"
	// resumedHere stands for an answer that broke off and goes on at another upstream.
	resumedHere = "Instance"
)

// streamGoesOn is the value of the label "outcome" of resumedMetric for a stream that goes on.
const streamGoesOn = "GoesOn"

// resumedMetric counts the resumed streams by service, by who resumes them, and by their outcome.
const resumedMetric = "snipepitch_streams_resumed_total"

// countResumed counts a resumed stream.
func (c *call) countResumed(by, outcome string) {
	c.gateway.Meter.Count(resumedMetric + "{service=" + strconv.Quote(c.service) + ",by=" + strconv.Quote(by) + ",outcome=" + strconv.Quote(outcome) + "}")
}
