package snipeentry

import (
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipesignal"
)

// buildSignals makes the book of what upstreams say of themselves.
func (i *Instance) buildSignals() {
	i.signals = &snipesignal.Book{Changed: i.signalChanged, Wrong: i.signalWrong}
}

// signalCount counts what upstreams say, by its kind.
func signalCount(kind string) string {
	return `snipepitch_upstream_signals_total{signal="` + kind + `"}`
}

// signalChanged logs a change of what an upstream says of itself.
func (i *Instance) signalChanged(upstream string, old, now snipesignal.State) {
	if !now.Limited {
		i.meter.Count(signalCount("Free"))
		i.Log.Log(snipelog.UpstreamFree, snipelog.Fields{"Upstream": upstream, "Before": old.Limit})
		return
	}
	i.meter.Count(signalCount("Limited"))
	fields := snipelog.Fields{"Upstream": upstream, "PerSecond": now.Limit, "Instances": i.instances()}
	if old.Limited {
		fields["Before"] = old.Limit
	}
	i.Log.Log(snipelog.UpstreamLimited, fields)
}

// signalWrong logs what cannot be understood.
func (i *Instance) signalWrong(upstream, text string) {
	i.meter.Count(signalCount("Wrong"))
	i.Log.Log(snipelog.SignalWrong, snipelog.Fields{"Upstream": upstream, "Value": text})
}
