package snipeupstream

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// ErrReport is returned when an engine's list or report cannot be had.
var ErrReport = errors.New("no report of the engine")

// maxReport bounds a list of aliases or a report in bytes.
const maxReport = 1 << 20

// Names of an engine's metrics and labels, as vLLM publishes them.
const (
	metricAdapters = "vllm:lora_requests_info"
	metricRunning  = "vllm:num_requests_running"
	metricWaiting  = "vllm:num_requests_waiting"
	metricStarted  = "process_start_time_seconds"
	labelRunning   = "running_lora_adapters"
	labelWaiting   = "waiting_lora_adapters"
)

// Report is what an engine says about itself in its metrics.
type Report struct {
	// Started is when the engine's process started; zero when it is not said.
	Started time.Time
	// Running and Waiting are the numbers of calls in the batch and before it.
	Running, Waiting int
	// BusyKnown tells that the engine says which aliases have calls.
	BusyKnown bool
	// Busy are the aliases with calls that run or wait.
	Busy map[string]bool
}

// Aliases returns the names of the models that the engine holds: aliases of
// adapters, and names that this project has not given.
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

// Report reads the engine's metrics.
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
	return reportOf(families), nil
}

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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return nil, errors.Wrapf(ErrReport, "%s of engine %s: %v", path, e.Name, err)
	}
	return body, nil
}

func reportOf(families map[string]*dto.MetricFamily) Report {
	r := Report{
		Running: int(gauge(families[metricRunning])),
		Waiting: int(gauge(families[metricWaiting])),
	}
	if s := gauge(families[metricStarted]); s > 0 {
		whole, part := math.Modf(s)
		r.Started = time.Unix(int64(whole), int64(part*float64(time.Second)))
	}
	latest := newest(families[metricAdapters])
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

// gauge returns the sum of a family's values.
func gauge(f *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return sum
}

// newest returns the sample with the highest value: the engine writes the time
// as the value and keeps old samples under other labels.
func newest(f *dto.MetricFamily) *dto.Metric {
	var best *dto.Metric
	for _, m := range f.GetMetric() {
		if best == nil || m.GetGauge().GetValue() > best.GetGauge().GetValue() {
			best = m
		}
	}
	return best
}
