package snipegateway_test

import (
	"fmt"
	"testing"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// BenchmarkChoose measures the choice for a request whose adapter is resident on two engines, with
// 9, 140 and 600 engines.
func BenchmarkChoose(b *testing.B) {
	const slots = 20
	for _, engines := range []int{9, 140, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newChooser(&fakeOwners{}, engines)
			for n := range engines {
				for slot := range slots {
					a := snipecatalog.Adapter{Model: "base", Name: fmt.Sprint("a", n*slots/2+slot)}
					c.Residency.RecordHeld(fmt.Sprint("e", n), a, 1)
				}
			}
			q := &snipegateway.Request{Adapter: snipecatalog.Adapter{Model: "base", Name: "a15"}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(b.Context(), service, q, nil, latencyTarget); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChoosePaced measures the choice among 600 upstreams of a service that states paces: of a
// plain service, and for a base model. It is to take less than 2 us.
func BenchmarkChoosePaced(b *testing.B) {
	for name, q := range map[string]*snipegateway.Request{
		"Plain": {ID: "r"}, "Engine": {ID: "r", Adapter: snipecatalog.Adapter{Model: "base"}, PromptTokens: 650},
	} {
		b.Run(name, func(b *testing.B) {
			c := newChooser(&fakeOwners{}, 600)
			c.Balancer.NotePaced(service)
			for n := range 600 {
				c.Balancer.SetStated(fmt.Sprint("e", n), snipebalance.StatedLoad{Running: n % 64, Slots: 64, Pace: 1 + float64(n%7)/10})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(b.Context(), service, q, nil, latencyTarget); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLoadOrder measures the selection of the first three engines to ask to load an adapter
// that no engine holds.
func BenchmarkLoadOrder(b *testing.B) {
	for _, engines := range []int{9, 600, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newChooser(&fakeOwners{}, engines)
			b.ReportAllocs()
			for b.Loop() {
				c.LoadCandidatesForTest(service, request.Adapter, 3)
			}
		})
	}
}
