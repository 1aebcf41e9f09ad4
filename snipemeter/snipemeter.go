// Package snipemeter collects the metrics of an instance (counters, gauges, and
// histograms per team and class) and writes them in the Prometheus text format.
package snipemeter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the metrics of one instance. It is safe for concurrent use. The zero value
// is not usable; call New.
type Meter struct {
	set        *metrics.Set
	histograms sync.Map // histogramKey to *metrics.Histogram
}

type histogramKey struct {
	name, team, class string
}

// New returns a Meter without metrics.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Names of the histograms per team and class. All values are in seconds.
const (
	// CallDuration is the time from the arrival of a call to its end, FirstChunk the time from its
	// arrival to the first chunk of its answer, and LoadStall the time that a call waits until its
	// engine holds its adapter. The gateway passes the name of the route as team, and the outcome of the
	// request as class.
	CallDuration = "snipepitch_call_duration_seconds"
	FirstChunk   = "snipepitch_first_chunk_seconds"
	LoadStall    = "snipepitch_load_stall_seconds"
)

// Observe records a duration in the histogram with the given name, team and class.
func (m *Meter) Observe(name, team, class string, d time.Duration) {
	k := histogramKey{name, team, class}
	h, ok := m.histograms.Load(k)
	if !ok {
		label := fmt.Sprintf("%s{team=%q,class=%q}", name, team, class)
		h, _ = m.histograms.LoadOrStore(k, m.set.GetOrCreateHistogram(label))
	}
	h.(*metrics.Histogram).Update(d.Seconds())
}

// Count adds one to the counter with the given name, which includes its labels.
func (m *Meter) Count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Add adds n to the counter with the given name, which includes its labels.
func (m *Meter) Add(name string, n int) { m.set.GetOrCreateCounter(name).Add(n) }

// Gauge registers a gauge whose value is read from f at each scrape.
func (m *Meter) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Write writes all metrics to w, including those of the process (CPU time, memory).
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
