package snipecapacity

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPageMatchesInputs guards against a page that was not rendered again after its
// inputs or the renderer changed.
func TestPageMatchesInputs(t *testing.T) {
	data, err := os.ReadFile("../docs/capacity.json")
	must.NoError(t, err)
	in, err := Decode(data)
	must.NoError(t, err)
	want, err := in.Render()
	must.NoError(t, err)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	must.NoError(t, err)
	must.Eq(t, want, string(page))
}

// TestFit guards against a wrong line, and against one that is fitted to too few sizes.
func TestFit(t *testing.T) {
	tests := map[string]struct {
		points []Point
		want   Line
		err    error
	}{
		"exact line":    {[]Point{{1, 3}, {2, 5}, {3, 7}}, Line{Intercept: 1, Slope: 2}, nil},
		"with spread":   {[]Point{{0, 0}, {0, 2}, {1, 1}, {1, 3}}, Line{Intercept: 1, Slope: 1, Spread: 1}, nil},
		"one size only": {[]Point{{1, 3}, {1, 5}}, Line{}, ErrInvalid},
		"no point":      {nil, Line{}, ErrInvalid},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Fit(tc.points)
			must.ErrorIs(t, err, tc.err)
			must.Eq(t, tc.want, got)
		})
	}
}

// TestValueFallingLine guards against a negative cost: the line through two noisy
// points can fall and cross zero before the size of the design.
func TestValueFallingLine(t *testing.T) {
	in := &Inputs{
		Sizes:        map[string]float64{"Instances": 340},
		Measurements: map[string]Measurement{"m": {Against: "Instances", Points: []Point{{3, 0.0027}, {9, 0.0024}}}},
	}
	v, err := in.Value(Term{Resource: Processor, Measurement: "m"})
	must.NoError(t, err)
	must.Eq(t, 0.0027, v)
}
