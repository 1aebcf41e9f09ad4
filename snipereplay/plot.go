package snipereplay

import (
	"io"
	"strings"
	"time"
)

const (
	plotWidth  = 640
	plotHeight = 240
	plotSteps  = 64
	barWidth   = 40
)

// plotQuantiles are the quantiles that the rows of the text plot show.
var plotQuantiles = []float64{0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1}

// quantile returns the quantile q of the times to the whole answer, over all groups.
func (p *Report) quantile(q float64) time.Duration {
	if len(p.totals) == 0 {
		return 0
	}
	return p.totals[min(int(q*float64(len(p.totals))), len(p.totals)-1)]
}

// WritePlot prints the times to the whole answer, all groups together, as a
// bar for each quantile.
func (p *Report) WritePlot(w io.Writer) error {
	out := &printer{writer: w}
	longest := max(p.quantile(1), 1)
	for _, q := range plotQuantiles {
		d := p.quantile(q)
		bar := strings.Repeat("#", int(int64(barWidth)*int64(d)/int64(longest)))
		out.print("P%-4g %-*s %s\n", 100*q, barWidth, bar, d.Round(100*time.Microsecond))
	}
	return out.err
}

// WriteSVG writes the times to the whole answer, all groups together, as an SVG
// curve, with the quantile on the x axis and the time on the y axis.
func (p *Report) WriteSVG(w io.Writer) error {
	out := &printer{writer: w}
	longest := max(p.quantile(1), 1)
	out.print("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">\n", plotWidth, plotHeight)
	out.print("<text x=\"4\" y=\"14\">time to the whole answer by quantile, up to %s</text>\n", longest.Round(time.Millisecond))
	out.print("<polyline fill=\"none\" stroke=\"black\" points=\"")
	for n := range plotSteps + 1 {
		q := float64(n) / plotSteps
		height := float64(plotHeight) * float64(p.quantile(q)) / float64(longest)
		out.print("%g,%.1f ", q*plotWidth, plotHeight-height)
	}
	out.print("\"/>\n</svg>\n")
	return out.err
}

// WriteComparison prints two reports side by side, with the ratio of the
// second to the first.
func WriteComparison(w io.Writer, first, second *Report) error {
	out := &printer{writer: w}
	out.print("%-10s %-9s %12s %12s %7s %12s %12s %7s\n", "Team", "Class", "Median 1", "Median 2", "Ratio", "P99 1", "P99 2", "Ratio")
	for _, a := range first.Groups {
		for _, b := range second.Groups {
			if a.Group != b.Group {
				continue
			}
			out.print("%-10s %-9s %12s %12s %7.2f %12s %12s %7.2f\n", a.Team, a.Class,
				a.Total.Median.Value(), b.Total.Median.Value(), ratio(a.Total.Median.Value(), b.Total.Median.Value()),
				a.Total.P99.Value(), b.Total.P99.Value(), ratio(a.Total.P99.Value(), b.Total.P99.Value()))
		}
	}
	out.print("answered or refused as stated: %.4f and %.4f; breaches: %d and %d\n",
		first.AnsweredShare(), second.AnsweredShare(), first.Breaches, second.Breaches)
	return out.err
}

func ratio(first, second time.Duration) float64 { return float64(second) / float64(max(first, 1)) }
