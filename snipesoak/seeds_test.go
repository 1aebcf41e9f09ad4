package snipesoak

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSeedRanges guards against kept seeds that draw from other faults than when they revealed a defect.
func TestSeedRanges(t *testing.T) {
	tests := map[string]struct {
		seed            uint64
		drawn, upstream int
		last            string
		startsWithLast  bool
		admission       bool
		retries         bool
	}{
		"First":       {114, 12, 7, "kill all", false, false, false},
		"LastOfFirst": {999, 12, 7, "kill all", false, false, false},
		"Second":      {1001, 14, 8, "an entry is nonsense", false, false, false},
		"Third":       {5014, 17, 8, "an upstream asks for rest", false, false, false},
		"Fourth":      {8009, 18, 8, "the coordinator is lost", false, true, false},
		"Fifth":       {12010, 19, 8, "a request crashes upstreams", true, true, false},
		"Sixth":       {16004, 41, 8, "upstreams fail all requests", true, false, true},
		"Seventh":     {20000, 20, 8, "answers end with their connection", true, false, false},
		"Eighth":      {24000, 22, 8, "a release", true, false, false},
		"Ninth":       {28000, 22, 8, "a part of a prompt crashes engines", false, false, false},
		"Twelfth":     {40000, 22, 9, "answers too many", true, true, false},
		"Thirteenth":  {44000, 30, 8, "a stop with requests on kept connections", true, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Soak{Seed: tt.seed}
			drawn, r := s.drawnFaults(), rangeOf(tt.seed)
			must.Len(t, tt.drawn, drawn)
			must.Eq(t, tt.last, drawn[len(drawn)-1].name)
			must.Eq(t, tt.upstream, r.upstreamFaults)
			must.Eq(t, tt.startsWithLast, r.startsWithLast)
			must.Eq(t, tt.admission, s.sharesAdmission())
			must.Eq(t, tt.retries, s.judgesRetries())
		})
	}
}
