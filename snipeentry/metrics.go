package snipeentry

import (
	"context"
	"net/http"
	"path"
	"strconv"
	"time"

	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeplatform"
)

// registerGauges registers the gauges, which are read at each scrape.
func (i *Instance) registerGauges() {
	if i.LogDropped != nil {
		i.meter.Gauge("snipepitch_log_lines_dropped", func() float64 { return float64(i.LogDropped()) })
	}
	i.meter.Gauge("snipepitch_requests_in_flight", func() float64 { return float64(i.gateway.InFlight()) })
	i.meter.Gauge("snipepitch_upstreams", func() float64 { return float64(i.directory.Snapshot().Len()) })
	i.meter.Gauge("snipepitch_unreached_services", func() float64 { return float64(i.reach.Count()) })
	i.meter.Gauge("snipepitch_wrong_entries", func() float64 { return float64(i.invalidEntries.Len()) })
	i.meter.Gauge("snipepitch_limited_upstreams", func() float64 { return float64(i.signals.CountLimited()) })
	i.meter.Gauge("snipepitch_brittle_services", func() float64 { return float64(i.brittle.Count()) })
	i.meter.Gauge("snipepitch_loads_waiting", func() float64 { return float64(i.controller.Waiting()) })
	i.meter.Gauge("snipepitch_store_load_expected_seconds", func() float64 { return i.controller.ExpectedStoreTime().Seconds() })
	i.meter.Gauge("snipepitch_instances", func() float64 { return float64(i.instances()) })
	i.meter.Gauge("snipepitch_retry_slack", func() float64 { return i.retryBudgets.slackRetries() })
	i.meter.Gauge("snipepitch_memory_exceeded_choices_total", func() float64 { return float64(i.balancer.ExceededChoices()) })
	if ignored := i.Platform.Protocol.Ignored; ignored != nil {
		i.meter.Gauge(`snipepitch_ignored_headers_total{header="Load"}`, func() float64 { return float64(ignored().Loads) })
		i.meter.Gauge(`snipepitch_ignored_headers_total{header="LengthHint"}`, func() float64 { return float64(ignored().LengthHints) })
	}
	for name, f := range map[string]*snipemirror.Follower{
		"catalog": i.tables.catalog, "directory": i.tables.directory, "ownership": i.tables.ownership,
	} {
		label := `{table="` + name + `"}`
		i.meter.Gauge("snipepitch_table_age_seconds"+label, func() float64 { return f.Mirror.Age().Seconds() })
		i.meter.Gauge("snipepitch_table_rows_read"+label, func() float64 { read, _ := f.Mirror.Counts(); return float64(read) })
		i.meter.Gauge("snipepitch_table_rows_changed"+label, func() float64 { _, changed := f.Mirror.Counts(); return float64(changed) })
	}
}

// storeCallCounter returns the name of the counter of one kind of calls to the store.
func storeCallCounter(kind string) string { return `snipepitch_store_calls_total{call="` + kind + `"}` }

// source returns the reader of a table of the store, with its calls counted.
func (i *Instance) source(table string) snipemirror.Source {
	s := i.Platform.Source(table)
	return snipemirror.Source{
		Read: func(ctx context.Context) (snipemirror.Page, error) {
			i.meter.Count(storeCallCounter("Read"))
			sent := time.Now()
			page, err := s.Read(ctx)
			page.Confirmed = sent
			return page, err
		},
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
			i.meter.Count(storeCallCounter("Watch"))
			sent := time.Now()
			page, err := s.Watch(ctx, after, wait)
			page.Confirmed = sent
			return page, err
		},
	}
}

// write changes rows of the store and counts the call.
func (i *Instance) write(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	i.meter.Count(storeCallCounter("Write"))
	return i.Platform.Write(ctx, operation, changes)
}

// countedTransport counts calls to other instances, by method and by whether they were answered.
type countedTransport struct {
	http.RoundTripper
	meter *snipemeter.Meter
}

// RoundTrip implements http.RoundTripper.
func (t *countedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := t.RoundTripper.RoundTrip(r)
	t.meter.Count(`snipepitch_peer_calls_total{call="` + path.Base(r.URL.Path) + `",answered="` + strconv.FormatBool(err == nil) + `"}`)
	return answer, err
}
