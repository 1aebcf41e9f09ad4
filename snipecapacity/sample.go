package snipecapacity

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Names of the metrics that a sample reads.
const (
	metricProcessor = "process_cpu_seconds_total"
	metricMemory    = "process_resident_memory_bytes"
	metricReceived  = "snipepitch_received_bytes_total"
	metricSent      = "snipepitch_sent_bytes_total"
)

// Sample holds what one instance uses on average over an interval.
type Sample struct {
	// Processor is the share of one core; Memory is the resident bytes at the end of
	// the interval.
	Processor float64
	Memory    float64
	// Traffic is the bytes a second, received and sent, by the name of the metric with
	// its labels, which state the kind of connection.
	Traffic map[string]float64
}

// Observe scrapes the metrics at the instances' operators' addresses twice, an
// interval apart, and returns the mean over the instances.
func Observe(ctx context.Context, client *http.Client, instances []netip.AddrPort, interval time.Duration) (Sample, error) {
	before, err := scrapeAll(ctx, client, instances)
	if err != nil {
		return Sample{}, err
	}
	start := time.Now()
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return Sample{}, ctx.Err()
	case <-t.C:
	}
	after, err := scrapeAll(ctx, client, instances)
	if err != nil {
		return Sample{}, err
	}
	seconds := time.Since(start).Seconds() * float64(len(instances))
	s := Sample{Traffic: map[string]float64{}, Memory: after[metricMemory] / float64(len(instances))}
	for name, v := range after {
		rate := (v - before[name]) / seconds
		switch {
		case name == metricProcessor:
			s.Processor = rate
		case strings.HasPrefix(name, metricReceived), strings.HasPrefix(name, metricSent):
			s.Traffic[name] = rate
		}
	}
	return s, nil
}

// scrapeAll returns the sum over the instances of each metric.
func scrapeAll(ctx context.Context, client *http.Client, instances []netip.AddrPort) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, a := range instances {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/metrics", http.NoBody)
		if err != nil {
			return nil, errors.Wrap(err, "make request")
		}
		response, err := client.Do(r)
		if err != nil {
			return nil, errors.Wrapf(err, "scrape %s", a)
		}
		err = addSamples(sums, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "scrape %s", a)
		}
	}
	return sums, nil
}

// addSamples adds the samples of a text exposition to sums. It skips lines that are
// not samples.
func addSamples(sums map[string]float64, r io.Reader) error {
	s := bufio.NewScanner(r)
	for s.Scan() {
		name, value, ok := strings.Cut(s.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			sums[name] += v
		}
	}
	return s.Err()
}
