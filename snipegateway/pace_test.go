package snipegateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPace answers the patterns of a weight store at its limit and of engines of different
// speed: where loads take long, or engines read fast, a request stays at a busy engine for
// longer. First pieces spread as they were seen to: half of them at 0.4 of what one in five
// exceeds.
func TestPace(t *testing.T) {
	tests := map[string]struct {
		// slow is the delay at a full engine that one in five exceeds, load the time of one.
		slow, load  time.Duration
		least, most float64
	}{
		"Usual":     {300 * time.Millisecond, 300 * time.Millisecond, 0.8, 1.25},
		"StoreFull": {300 * time.Millisecond, 600 * time.Millisecond, 1.6, 2.5},
		"StoreFast": {300 * time.Millisecond, 120 * time.Millisecond, 0.32, 0.5},
		"Slow":      {900 * time.Millisecond, 300 * time.Millisecond, 0.27, 0.42},
		"Fast":      {100 * time.Millisecond, 300 * time.Millisecond, 2.4, 3.75},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			p := &pace{}
			sum := 0.0
			const seen, looked = 600, 300
			for n := range seen {
				busy := 0.3 + 1.5*r.Float64()
				spread := 0.4 * r.ExpFloat64() / 0.644 // one in five beyond 1
				p.first(time.Duration(busy*spread*float64(tt.slow)), busy)
				p.loaded(time.Duration(float64(tt.load) * (0.8 + 0.4*r.Float64())))
				p.loaded(30 * time.Millisecond) // from an engine's own memory
				if n >= seen-looked {
					sum += p.crowding()
				}
			}
			must.Between(t, tt.least, sum/looked, tt.most)
		})
	}
}

// TestPaceUnknown: until something was seen an engine is crowded when its slots are taken, and
// idle engines tell nothing.
func TestPaceUnknown(t *testing.T) {
	p := &pace{}
	must.Eq(t, 1.0, p.crowding())
	p.first(time.Minute, leastBusy/2)
	must.Eq(t, 1.0, p.crowding())
}

// TestPaceOfServices: services are observed each by itself.
func TestPaceOfServices(t *testing.T) {
	var p paces
	p.of("a").loaded(time.Second)
	must.Greater(t, 1.0, p.of("a").crowding())
	must.Eq(t, 1.0, p.of("b").crowding())
}

func BenchmarkCrowding(b *testing.B) {
	var p paces
	p.of("a").loaded(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		_ = p.of("a").crowding()
	}
}
