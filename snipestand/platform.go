package snipestand

import (
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// Platform emulates the platform in one process: the table service, the weight store and the
// instance list.
type Platform struct {
	Table     *Table
	Weights   *Weights
	Instances *Instances
}

// tableFault is the JSON form of TableFault.
type tableFault struct {
	Down              bool
	DownPartition     string
	FlapMilliseconds  int64
	RefuseEvery       int
	DelayMilliseconds int64
	StaleMilliseconds int64
	LoseReplies       int
	LoseWrites        int
	LateWrites        int
	LateMilliseconds  int64
}

// value returns the fault with its durations.
func (f tableFault) value() TableFault {
	milliseconds := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return TableFault{
		Down: f.Down, DownPartition: f.DownPartition, Flap: milliseconds(f.FlapMilliseconds),
		RefuseEvery: f.RefuseEvery, Delay: milliseconds(f.DelayMilliseconds), Stale: milliseconds(f.StaleMilliseconds),
		LoseReplies: f.LoseReplies, LoseWrites: f.LoseWrites,
		LateWrites: f.LateWrites, Late: milliseconds(f.LateMilliseconds),
	}
}

// Handler returns the routes of the platform. POST /Fault sets the faults of the table.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /{$}", p.Table)
	mux.Handle("GET /weights/", p.Weights)
	mux.Handle(snipeplatform.InstancesPath, p.Instances)
	mux.HandleFunc("POST /Fault", func(w http.ResponseWriter, r *http.Request) {
		var f tableFault
		if !readJSON(w, r, &f) {
			return
		}
		p.Table.SetFault(f.value())
	})
	return mux
}
