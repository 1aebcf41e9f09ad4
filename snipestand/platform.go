package snipestand

import (
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// Platform is the platform as one process: table service, weight store and
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

func (f tableFault) value() TableFault {
	milliseconds := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return TableFault{
		Down: f.Down, DownPartition: f.DownPartition, Flap: milliseconds(f.FlapMilliseconds),
		RefuseEvery: f.RefuseEvery, Delay: milliseconds(f.DelayMilliseconds), Stale: milliseconds(f.StaleMilliseconds),
		LoseReplies: f.LoseReplies, LoseWrites: f.LoseWrites,
		LateWrites: f.LateWrites, Late: milliseconds(f.LateMilliseconds),
	}
}

// Handler returns the platform's routes.
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
