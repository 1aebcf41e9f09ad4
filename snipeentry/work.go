package snipeentry

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipeproto"
)

// workMessage is implemented by the messages that state the work at an engine.
type workMessage interface {
	GetLoad() float64
	GetRequests() int64
	GetPendingTokens() int64
	GetReservedTokens() int64
	GetPacePercent() int64
	GetPaceAgeMilliseconds() int64
}

// maxLoad bounds the load of an engine in a message.
const maxLoad = 1e9

// decodeWork returns the load of a message and the work that it consists of. If a figure of the work is
// out of range, the work is unknown, so that only the load counts; if the load is, both count as none.
// ignored is then called unless it is nil.
func decodeWork(m workMessage, ignored func()) (load float64, w snipebalance.Work) {
	load = m.GetLoad()
	w = snipebalance.Work{
		Requests: float64(m.GetRequests()), PendingTokens: float64(m.GetPendingTokens()),
		ReservedTokens: float64(m.GetReservedTokens()), Pace: float64(m.GetPacePercent()) / percent,
	}
	if age := m.GetPaceAgeMilliseconds(); age >= 0 && age < time.Minute.Milliseconds() {
		w.PacedAt = time.Now().Add(-time.Duration(age) * time.Millisecond)
	}
	validLoad := load >= 0 && load <= maxLoad // false for NaN
	if validLoad && w.Valid() {
		return load, w
	}
	if ignored != nil {
		ignored()
	}
	if !validLoad {
		load = 0
	}
	return load, snipebalance.Work{}
}

// percent is the pace of usual speed in a message.
const percent = 100

// round returns a figure for a message.
func round(f float64) int64 { return int64(math.Round(f)) }

// paceAge returns the age of a stated pace in milliseconds.
func paceAge(w snipebalance.Work) int64 {
	if w.Pace == 0 {
		return 0
	}
	return time.Since(w.PacedAt).Milliseconds()
}

// encodeLoad returns the message for the load of an engine and the work that it consists of.
func encodeLoad(engine string, load float64, w snipebalance.Work) *snipeproto.EngineLoad {
	return &snipeproto.EngineLoad{
		Engine: engine, Load: load, Requests: round(w.Requests), PendingTokens: round(w.PendingTokens),
		ReservedTokens: round(w.ReservedTokens), PacePercent: round(w.Pace * percent), PaceAgeMilliseconds: paceAge(w),
	}
}

// countIgnoredWork counts a message whose work is ignored.
func (i *Instance) countIgnoredWork() { i.meter.Count("snipepitch_ignored_work_total") }

// notePaced records that the service of an engine states paces, if the work has one.
func (i *Instance) notePaced(engine string, w snipebalance.Work) {
	if w.Pace == 0 {
		return
	}
	if u := i.directory.Snapshot().ByID(engine); u != nil {
		i.balancer.NotePaced(u.Service)
	}
}
