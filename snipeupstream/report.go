package snipeupstream

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"snipepitch.example/snipepitch/snipebound"
)

// ErrReport is returned when an engine's list of models or its metrics cannot be read.
var ErrReport = errors.New("no report of the engine")

// maxReport bounds the bytes read of a list of models or of metrics.
const maxReport = 1 << 20

// Names of the metrics and labels that vLLM publishes.
const (
	metricAdapters = "vllm:lora_requests_info"
	metricRunning  = "vllm:num_requests_running"
	metricWaiting  = "vllm:num_requests_waiting"
	metricStarted  = "process_start_time_seconds"
	labelRunning   = "running_lora_adapters"
	labelWaiting   = "waiting_lora_adapters"
)

// Report is the state of an engine according to its metrics.
type Report struct {
	// Started is the start time of the engine's process; zero if it is not reported.
	Started time.Time
	// Running and Waiting are the numbers of calls in the batch and in the queue; zero if the
	// metrics lack them.
	Running, Waiting int
	// BusyKnown reports that the metrics list the aliases with calls.
	BusyKnown bool
	// Busy holds the aliases with running or waiting calls; nil if BusyKnown is false.
	Busy map[string]bool
}

// Aliases returns the names of the models that the engine holds: aliases of
// adapters, and names that were not assigned by this project. Errors wrap
// ErrReport.
func (e *Engine) Aliases(ctx context.Context) ([]string, error) {
	body, err := e.get(ctx, "/v1/models")
	if err != nil {
		return nil, err
	}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(ErrReport, "list of engine %s: %v", e.Name, err)
	}
	names := make([]string, 0, len(list.Data))
	for _, m := range list.Data {
		names = append(names, m.ID)
	}
	return names, nil
}

// Report reads the engine's metrics. Errors wrap ErrReport.
func (e *Engine) Report(ctx context.Context) (Report, error) {
	body, err := e.get(ctx, "/metrics")
	if err != nil {
		return Report{}, err
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(body)))
	if err != nil {
		return Report{}, errors.Wrapf(ErrReport, "metrics of engine %s: %v", e.Name, err)
	}
	return reportFrom(families), nil
}

// get returns the body at a path of the engine, which has maxReport bytes at most.
func (e *Engine) get(ctx context.Context, path string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url(path), http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(ErrReport, "%s of engine %s: %v", path, e.Name, err)
	}
	response, err := e.Fresh.Do(r)
	if err != nil {
		return nil, errors.Wrapf(ErrReport, "%s of engine %s: %v", path, e.Name, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrReport, "%s of engine %s: status %d", path, e.Name, response.StatusCode)
	}
	body, err := snipebound.ReadAll(response.Body, maxReport)
	if err != nil {
		return nil, errors.Wrapf(ErrReport, "%s of engine %s: %v", path, e.Name, err)
	}
	return body, nil
}

// reportFrom returns the report that a set of metrics contains.
func reportFrom(families map[string]*dto.MetricFamily) Report {
	r := Report{
		Running: int(gaugeSum(families[metricRunning])),
		Waiting: int(gaugeSum(families[metricWaiting])),
	}
	if s := gaugeSum(families[metricStarted]); s > 0 {
		seconds, fraction := math.Modf(s)
		r.Started = time.Unix(int64(seconds), int64(fraction*float64(time.Second)))
	}
	latest := newestSample(families[metricAdapters])
	if latest == nil {
		return r
	}
	r.BusyKnown = true
	r.Busy = map[string]bool{}
	for _, l := range latest.GetLabel() {
		if l.GetName() != labelRunning && l.GetName() != labelWaiting {
			continue
		}
		for alias := range strings.SplitSeq(l.GetValue(), ",") {
			if alias != "" {
				r.Busy[alias] = true
			}
		}
	}
	return r
}

// gaugeSum returns the sum of a family's values.
func gaugeSum(f *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return sum
}

// newestSample returns the sample with the highest value, or nil. The engine uses
// the time as the value and keeps old samples under other labels.
func newestSample(f *dto.MetricFamily) *dto.Metric {
	var sample *dto.Metric
	for _, m := range f.GetMetric() {
		if sample == nil || m.GetGauge().GetValue() > sample.GetGauge().GetValue() {
			sample = m
		}
	}
	return sample
}
