package snipestand

import (
	"net/http"
	"time"
)

// Platform is the platform as one process: table service and weight store.
type Platform struct {
	Table   *Table
	Weights *Weights
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
