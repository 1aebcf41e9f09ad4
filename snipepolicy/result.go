package snipepolicy

import (
	"fmt"
	"io"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipecall"
)

// result is what one run has shown. The stall of a call that was refused or
// gave up counts with its whole deadline; calls for adapters that cannot be
// loaded do not count.
type result struct {
	stalls     [snipecall.Classes][]time.Duration
	lostCalls  [snipecall.Classes]int
	team       []time.Duration // sum of stalls
	loads      int
	evictions  int
	efficiency float64
	waits      time.Duration // for places in batches
	tokens     float64       // answered, for each engine and second
}

func (w *world) served(c call, stall time.Duration) {
	w.stalled(c, stall)
	w.lock.Lock()
	defer w.lock.Unlock()
	w.result.tokens += float64(c.tokens)
}

func (w *world) stalled(c call, stall time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.result.stalls[c.class] = append(w.result.stalls[c.class], stall)
	w.result.team[c.adapter%teams] += stall
}

func (w *world) lost(c call) {
	if w.trace.fails[c.adapter] {
		return
	}
	w.stalled(c, deadlines[c.class])
	w.lock.Lock()
	defer w.lock.Unlock()
	w.result.lostCalls[c.class]++
}

func (w *world) finish() {
	var busy, work time.Duration
	for _, e := range w.engines {
		busy += e.busy
		work += e.work
		w.result.waits += e.waits
		w.result.evictions += e.evicted
	}
	batch := w.deployment.batch
	if w.policy.clairvoyant {
		batch *= w.deployment.engines
	}
	w.result.efficiency = float64(work) / float64(busy) / float64(batch)
	w.result.loads = w.store.loads
	w.result.tokens /= length.Seconds() * float64(w.deployment.engines)
	for c := range w.result.stalls {
		slices.Sort(w.result.stalls[c])
	}
}

func (r *result) sum() time.Duration {
	var sum time.Duration
	for c := range r.stalls {
		for _, s := range r.stalls[c] {
			sum += s
		}
	}
	return sum
}

// weights say what a second of stall costs in each class, for the weighted sum.
var weights = [snipecall.Classes]float64{16, 4, 1}

func (r *result) weighted() float64 {
	sum := 0.0
	for c := range r.stalls {
		for _, s := range r.stalls[c] {
			sum += weights[c] * s.Seconds()
		}
	}
	return sum
}

// others is the sum of stalls of all teams but team 0, which storms.
func (r *result) others() time.Duration {
	var sum time.Duration
	for _, t := range r.team[1:] {
		sum += t
	}
	return sum
}

// spread is the highest stall sum of a team over the mean of all.
func (r *result) spread() float64 {
	var sum time.Duration
	for _, t := range r.team {
		sum += t
	}
	return float64(slices.Max(r.team)) * teams / float64(max(sum, 1))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// write writes the rows of one deployment and scenario; all runs are of the
// same trace.
func write(w io.Writer, names []string, all []result) error {
	_, err := fmt.Fprintln(w, "| Policy | Sum of stalls, s | Weighted | Other teams | Status 50/95/99 % | Standard 50/95/99 % | Bulk 50/95/99 % |"+
		" Lost Status/Standard/Bulk | Loads | Evictions | Batch fill | Batch waits, s | Tokens/s | Worst team |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for n, r := range all {
		if err != nil {
			return err
		}
		row := "| " + names[n] + " | " + fmt.Sprintf("%.0f | %.0f | %.0f", r.sum().Seconds(), r.weighted(), r.others().Seconds())
		for c := range r.stalls {
			s := r.stalls[c]
			row += " | " + seconds(quantile(s, 0.5)) + "/" + seconds(quantile(s, 0.95)) + "/" + seconds(quantile(s, 0.99))
		}
		row += fmt.Sprintf(" | %d/%d/%d | %d | %d | %.3f | %.0f | %.2f | %.2f |",
			r.lostCalls[0], r.lostCalls[1], r.lostCalls[2], r.loads, r.evictions, r.efficiency, r.waits.Seconds(), r.tokens, r.spread())
		_, err = fmt.Fprintln(w, row)
	}
	return err
}
