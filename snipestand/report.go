package snipestand

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// metrics serves the engine's load in the Prometheus text format, under the metric names that vLLM
// publishes.
func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	e.lock.Lock()
	defer e.lock.Unlock()
	running, waiting := map[string]bool{}, map[string]bool{}
	var runningCount, waitingCount int
	for _, g := range e.answers {
		switch g.phase() {
		case phaseRunning:
			runningCount++
			running[g.alias] = true
		case phaseWaiting:
			waitingCount++
			waiting[g.alias] = true
		}
	}
	now := float64(time.Now().UnixNano()) / float64(time.Second)
	start := float64(e.started.UnixNano()) / float64(time.Second)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds %.3f\n", start)
	_, _ = fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", runningCount)
	_, _ = fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", waitingCount)
	_, _ = fmt.Fprintf(w, "# TYPE vllm:lora_requests_info gauge\n"+
		"vllm:lora_requests_info{max_lora=\"%d\",running_lora_adapters=%q,waiting_lora_adapters=%q} %.3f\n",
		e.Slots, joinNames(running), joinNames(waiting), now)
}

// joinNames returns the names in sorted order, separated by commas.
func joinNames(names map[string]bool) string {
	list := make([]string, 0, len(names))
	for n := range names {
		list = append(list, n)
	}
	sort.Strings(list)
	return strings.Join(list, ",")
}

// The phases of an answer: waiting for a slot of the batch, in production, and finished or
// canceled.
const (
	phaseWaiting = iota
	phaseRunning
	phaseEnded
)

func (g *generation) phase() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	switch {
	case g.canceled || g.produced == len(g.tokens):
		return phaseEnded
	case g.running:
		return phaseRunning
	}
	return phaseWaiting
}

// markRunning records that the answer has got a slot of the batch.
func (g *generation) markRunning() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.running = true
}
