package snipeentry

import (
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipequarantine"
)

// buildCrashes creates what observes the requests that crash upstreams.
func (i *Instance) buildCrashes() {
	i.crashDetector = &crashDetector{
		Dial: snipelink.Dialer(), Leaving: i.upstreamLeaving, ConfirmTime: i.Settings.CrashTime.Value(), Log: i.Log,
		Crashed: func(string, snipequarantine.Fingerprint) {},
	}
}

// gatewayCrashes returns the functions by which the gateway reports broken answers.
func (i *Instance) gatewayCrashes() snipegateway.Crashes {
	return snipegateway.Crashes{Broke: i.crashDetector.Broke}
}

// upstreamLeaving reports whether an upstream has announced that it is leaving, in the registry or in
// an answer.
func (i *Instance) upstreamLeaving(id string) bool {
	u := i.directory.Snapshot().ByID(id)
	return u != nil && u.Leaving || i.signals.Leaving(id)
}
