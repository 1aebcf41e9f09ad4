package snipeentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// TestLoadsReaderRank covers a failure domain whose first instance, which gathers the loads of all
// engines, is lost for seconds. The next by rank is asked in the meantime. The first is asked again
// after a pause, and the loss and the return are each reported once.
func TestLoadsReaderRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{}
		begun := time.Now()
		lost := func() bool { d := time.Since(begun); return d >= time.Second && d < 9*time.Second }
		failed, changes := 0, 0
		var back time.Time
		for range 100 {
			time.Sleep(loadsInterval)
			rank := p.loadsReaderRank()
			must.Less(t, 2, rank)
			if rank == 0 && lost() {
				failed++
			}
			if p.noteLoadsAnswer(rank, rank > 0 || !lost()) {
				changes++
				back = time.Now()
			}
		}
		must.Eq(t, 2, changes)
		must.Between(t, 1, failed, 4)
		must.Less(t, 9*time.Second+loadsRetryPause+2*loadsInterval, back.Sub(begun))
	})
}

// TestLoadsPassedOn checks that the loads known to one instance are passed to an instance that
// requests them with their true age, and do not replace newer loads that the receiver knows itself.
func TestLoadsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &snipebalance.Balancer{}
		first.SetLoad("busy", 8)
		first.SetLoad("idle", 0)
		first.SetLoad("known", 3)
		time.Sleep(400 * time.Millisecond)
		own := &snipebalance.Balancer{}
		own.SetLoad("quiet", 5)
		own.SetLoad("known", 6)
		time.Sleep(200 * time.Millisecond)
		server := &peerServer{balancer: first, signals: &snipesignal.Tracker{}, brittle: &snipesignal.BrittleTracker{}}
		answer, err := server.Loads(t.Context(), &snipeproto.AdapterLoadsRequest{})
		must.NoError(t, err)
		must.Len(t, 2, answer.GetLoads())
		var all []snipebalance.LoadReport
		for _, l := range answer.GetLoads() {
			must.Eq(t, 600, l.GetAgeMilliseconds())
			all = append(all, snipebalance.LoadReport{ID: l.GetEngine(), Load: l.GetLoad(), Age: 600 * time.Millisecond})
		}
		own.MergeLoads(all)
		loads := func() map[string]float64 {
			known := map[string]float64{}
			for _, s := range own.LoadReports() {
				known[s.ID] = s.Load
			}
			return known
		}
		must.Eq(t, map[string]float64{"busy": 8, "known": 6, "quiet": 5}, loads())
		time.Sleep(400 * time.Millisecond)
		own.MergeLoads(nil)
		must.Eq(t, map[string]float64{}, loads(), must.Sprint("a load that is not reported again has ended"))
	})
}
