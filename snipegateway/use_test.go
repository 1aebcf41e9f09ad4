package snipegateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// TestTakeUseReports guards against excessive use reports from an instance with a few streams in flight:
// unchanged use is reported again three or four times in two seconds, and a change at once.
func TestTakeUseReports(t *testing.T) {
	const tick = 80 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := &snipegateway.Chooser{}
		a, b := snipecatalog.Adapter{Model: "base", Name: "a"}, snipecatalog.Adapter{Model: "base", Name: "b"}
		type uses = map[string]map[snipecatalog.Adapter]snipeadapter.Use
		endA := c.Use("e1", a)
		c.Use("e1", a)()
		endB := c.Use("e1", b)
		endBase := c.Use("e2", snipecatalog.Adapter{Model: "base"})
		must.Eq(t, uses{
			"e1": {a: {Begun: 2, Running: true}, b: {Begun: 1, Running: true}}, "e2": {},
		}, c.TakeUseReports())
		reports := 0
		for range 25 {
			time.Sleep(tick)
			if taken := c.TakeUseReports(); len(taken) > 0 {
				reports++
				must.Eq(t, uses{"e1": {a: {Running: true}, b: {Running: true}}, "e2": {}}, taken)
			}
		}
		must.Between(t, 3, reports, 4)
		endA()
		must.Eq(t, uses{"e1": {a: {}, b: {Running: true}}}, c.TakeUseReports())
		must.MapEmpty(t, c.TakeUseReports())
		endB()
		endBase()
		must.Eq(t, uses{"e1": {b: {}}, "e2": {}}, c.TakeUseReports())
		time.Sleep(time.Minute)
		must.MapEmpty(t, c.TakeUseReports())
	})
}

// TestLostReports guards against use that expires at the owner after a lost report: while requests
// are in flight, the next report must come before the previous one expires.
func TestLostReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &snipegateway.Chooser{}
		c.Use("e1", snipecatalog.Adapter{Model: "base", Name: "a"})
		last := time.Now()
		c.TakeUseReports()
		lost := false
		for range 100 {
			time.Sleep(80 * time.Millisecond)
			if len(c.TakeUseReports()) == 0 {
				continue
			}
			if lost = !lost; lost {
				continue
			}
			must.Less(t, snipeadapter.UseTTL, time.Since(last))
			last = time.Now()
		}
	})
}
