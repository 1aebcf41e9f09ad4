package snipegateway_test

import (
	"fmt"
	"testing"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// BenchmarkChoose measures the choice for a request whose adapter is resident on two engines, at
// today's sizes and at those to build towards.
func BenchmarkChoose(b *testing.B) {
	const places = 20
	for _, engines := range []int{9, 140, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newChooser(&owners{}, engines)
			for n := range engines {
				for place := range places {
					a := snipecatalog.Adapter{Model: "base", Name: fmt.Sprint("a", n*places/2+place)}
					c.Residency.Tell(fmt.Sprint("e", n), a, 1)
				}
			}
			q := &snipegateway.Request{Adapter: snipecatalog.Adapter{Model: "base", Name: "a15"}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(b.Context(), service, q, nil, objective); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLoadOrder measures the choice of the first engines to ask for an adapter that none
// holds.
func BenchmarkLoadOrder(b *testing.B) {
	for _, engines := range []int{9, 600, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newChooser(&owners{}, engines)
			b.ReportAllocs()
			for b.Loop() {
				c.BestFirstForTest(service, request.Adapter, 3)
			}
		})
	}
}
