package snipecapacity

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const sweepOutput = `built in 4.8 s; 47762 lines in 277 files
day                  own/srv  score  worth served refused failed  weakest part
sweep-30              33/302   0.79  0.792  0.990   0.000  0.008  worst class 0.92; prices 0.179, most for adapters
sweep-300           302/3000   0.44  0.440  0.983   0.000  0.010  worst class 0.90; prices 0.514, most for GB

middle / busiest or longest, by own machines
                                                          30             300  power  at 335
entry: processor %                                 4.2 / 4.7       5.7 / 8.2   0.25  8.4
serving after all were killed, ms                1000 / 1000     8500 / 8500   0.92  9408
power: the busiest grows as machines to this power
`

// TestParseSweep guards against days and rows that are missed, or read from the other
// lines of the benchmark's output.
func TestParseSweep(t *testing.T) {
	s, err := ParseSweep(strings.NewReader(sweepOutput))
	must.NoError(t, err)
	must.Eq(t, []SweepDay{{33, 302, 0.990, 0.179}, {302, 3000, 0.983, 0.514}}, s.Days)
	must.Eq(t, []SweepRow{
		{"entry: processor %", []SweepPoint{{30, 4.2, 4.7}, {300, 5.7, 8.2}}},
		{"serving after all were killed, ms", []SweepPoint{{30, 1000, 1000}, {300, 8500, 8500}}},
	}, s.Rows)
	middle, busiest, err := s.Rows[1].extrapolate(570)
	must.NoError(t, err)
	must.Eq(t, 16000, middle)
	must.Eq(t, 16000, busiest)
	_, err = ParseSweep(strings.NewReader("given up"))
	must.ErrorIs(t, err, ErrInvalid)
}

// TestRenderSweep guards against a page without the rows' bounds, and against a second
// copy of a sweep that the same command printed again.
func TestRenderSweep(t *testing.T) {
	s, err := ParseSweep(strings.NewReader(sweepOutput))
	must.NoError(t, err)
	in := &Inputs{Sizes: map[string]float64{"Instances": 300}, Bounds: map[Resource]float64{Processor: 0.028}, Sweeps: []*Sweep{s}}
	page, err := in.Render()
	must.NoError(t, err)
	repeated := *s
	in.AddSweep(&repeated)
	must.Len(t, 1, in.Sweeps)
	other := *s
	other.Command = "another"
	in.AddSweep(&other)
	must.Len(t, 2, in.Sweeps)
	must.StrContains(t, page, "| entry: processor % | 4.2 / 4.7 | 5.7 / 8.2 | 5.7 / 8.2 | 2.8 |")
}
