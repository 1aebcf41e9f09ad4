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
	DelayMilliseconds int64
	LoseReplies       int
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
		p.Table.SetFault(TableFault{
			Down: f.Down, Delay: time.Duration(f.DelayMilliseconds) * time.Millisecond, LoseReplies: f.LoseReplies,
		})
	})
	return mux
}
