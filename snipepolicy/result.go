package snipepolicy

import (
	"fmt"
	"io"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipecall"
)

// result holds the measurements of one run. A stall is the time that a call waits until its engine
// holds its adapter. The stall of a call that was refused or timed out is counted as its whole
// deadline; calls for adapters that cannot be loaded are not counted if they are not served.
type result struct {
	stalls     [snipecall.Classes][]time.Duration
	lostCalls  [snipecall.Classes]int
	teamStalls []time.Duration // sum of stalls by team
	loads      int
	evictions  int
	batchFill  float64       // mean calls in the batch of a busy engine, over the batch size
	batchWaits time.Duration // sum of the waits for a free slot in a batch
	tokens     float64       // tokens of served calls; after summarize per engine and second
}

func (sm *simulation) recordServed(c call, stall time.Duration) {
	sm.recordStall(c, stall)
	sm.lock.Lock()
	defer sm.lock.Unlock()
	sm.result.tokens += float64(c.tokens)
}

func (sm *simulation) recordStall(c call, stall time.Duration) {
	sm.lock.Lock()
	defer sm.lock.Unlock()
	sm.result.stalls[c.class] = append(sm.result.stalls[c.class], stall)
	sm.result.teamStalls[c.adapter%teams] += stall
}

func (sm *simulation) recordLost(c call) {
	if sm.trace.fails[c.adapter] {
		return
	}
	sm.recordStall(c, deadlines[c.class])
	sm.lock.Lock()
	defer sm.lock.Unlock()
	sm.result.lostCalls[c.class]++
}

// summarize computes the totals of the run from its engines and sorts the stalls.
func (sm *simulation) summarize() {
	var busy, callTime time.Duration
	for _, e := range sm.engines {
		busy += e.busy
		callTime += e.callTime
		sm.result.batchWaits += e.batchWaits
		sm.result.evictions += e.evicted
	}
	batch := sm.deployment.batch
	if sm.policy.clairvoyant {
		batch *= sm.deployment.engines
	}
	sm.result.batchFill = float64(callTime) / float64(busy) / float64(batch)
	sm.result.loads = sm.store.loads
	sm.result.tokens /= traceLength.Seconds() * float64(sm.deployment.engines)
	for c := range sm.result.stalls {
		slices.Sort(sm.result.stalls[c])
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

// weights is the cost of a second of stall by class, for the weighted sum.
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

// otherTeams returns the sum of stalls of all teams but team 0, which sends the extra calls of the
// storm scenario.
func (r *result) otherTeams() time.Duration {
	var sum time.Duration
	for _, t := range r.teamStalls[1:] {
		sum += t
	}
	return sum
}

// worstTeam returns the highest stall sum of a team divided by the mean of all teams.
func (r *result) worstTeam() float64 {
	var sum time.Duration
	for _, t := range r.teamStalls {
		sum += t
	}
	return float64(slices.Max(r.teamStalls)) * teams / float64(max(sum, 1))
}

// quantile returns the q-quantile of sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// writeTable writes the table of one deployment and scenario, with a row for each result; all
// results are of the same trace.
func writeTable(w io.Writer, names []string, all []result) error {
	_, err := fmt.Fprintln(w, "| Policy | Sum of stalls, s | Weighted | Other teams | Status 50/95/99 % | Standard 50/95/99 % | Bulk 50/95/99 % |"+
		" Lost Status/Standard/Bulk | Loads | Evictions | Batch fill | Batch waits, s | Tokens/s | Worst team |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for n, r := range all {
		if err != nil {
			return err
		}
		row := "| " + names[n] + " | " + fmt.Sprintf("%.0f | %.0f | %.0f", r.sum().Seconds(), r.weighted(), r.otherTeams().Seconds())
		for c := range r.stalls {
			s := r.stalls[c]
			row += " | " + seconds(quantile(s, 0.5)) + "/" + seconds(quantile(s, 0.95)) + "/" + seconds(quantile(s, 0.99))
		}
		row += fmt.Sprintf(" | %d/%d/%d | %d | %d | %.3f | %.0f | %.2f | %.2f |",
			r.lostCalls[0], r.lostCalls[1], r.lostCalls[2], r.loads, r.evictions, r.batchFill, r.batchWaits.Seconds(), r.tokens, r.worstTeam())
		_, err = fmt.Fprintln(w, row)
	}
	return err
}
