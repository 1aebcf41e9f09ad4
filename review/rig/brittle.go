package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

func init() { plays["brittle"] = brittlePlay }

const (
	// machines and runners are those of a small deployment, slots what a runner runs at once.
	machines, runners, slots = 7, 3, 6
	// calmTime, brittleTime and afterTime are the parts of the day before most channels go to one machine: before the
	// runners are brittle, while they are, and after.
	calmTime, brittleTime, afterTime = 5 * time.Second, 9 * time.Second, 10 * time.Second
	// Most new channels go to one machine for skewTime, of which the first contactTime is not judged, and to another one
	// after evenTime.
	skewTime, contactTime, evenTime = 6500 * time.Millisecond, 3 * time.Second, 2 * time.Second
	// skewShare is the part of the channels that go to that machine.
	skewShare = 0.9
	// workTime is what a request takes, patience what its caller waits.
	workTime, patience = 30 * time.Millisecond, time.Second
	// evenPause and skewPause are the mean times between two requests.
	evenPause, skewPause = 450 * time.Millisecond, 110 * time.Millisecond
	// spells is how often the runners are brittle at most. The day goes on after the first spell that leaves a trace.
	spells = 3
	// longest is when the last machine may get most new channels, counted from the start.
	longest = 98 * time.Second
	// enough is the number of requests that are judged at least.
	enough = 10
	// servedShare is what the rule asks for, against the seconds before.
	servedShare = 0.75
)

// tally counts requests, and those that were served at the first attempt.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%d of %d served (%.2f)", t.served, t.sent, t.share())
}

// brittleDay is a day on which the runners of a service say for some seconds that they are brittle.
type brittleDay struct {
	w       *world
	brittle atomic.Bool
	number  atomic.Int64
}

// brittlePlay has most new channels go to one machine after the other, some seconds after the runners were brittle. Rule: a
// machine that gets most new channels serves no less than three quarters of what was served in the seconds before.
func brittlePlay(w *world) ([]string, error) {
	d := &brittleDay{w: w}
	if err := w.declare(snipestand.RouteNonIdempotent, "/stock/"); err != nil {
		return nil, err
	}
	for n := range runners {
		if err := w.addUpstream(&upstream{id: fmt.Sprintf("i-%d", n), service: plain, answer: d.answers()}); err != nil {
			return nil, err
		}
	}
	if err := w.start(machines); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // traffic starts some seconds after the machines
	w.record("before: %s", d.even(calmTime))
	var before tally
	for spell := range spells {
		d.brittle.Store(w.trouble)
		w.record("spell %d: the runners are brittle: %v", spell+1, w.trouble)
		w.record("while: %s", d.even(brittleTime))
		d.brittle.Store(false)
		w.record("the runners are brittle no more")
		before = d.even(afterTime)
		w.record("after: %s", before)
		if before.served < before.sent {
			break
		}
	}
	var breaches []string
	for _, i := range w.instances {
		if time.Since(w.started) > longest {
			break
		}
		w.record("most new channels go to %s from now on", i.name)
		d.send(skewPause, contactTime, i)
		t := d.send(skewPause, skewTime-contactTime, i)
		w.record("most channels to %s: %s; in the seconds before: %s", i.name, t, before)
		if t.sent >= enough && t.share() < servedShare*before.share() {
			breaches = append(breaches, fmt.Sprintf("RECOVER: while most new channels go to %s %s, in the seconds before %s", i.name, t, before))
		}
		d.even(evenTime)
	}
	return breaches, nil
}

// answers returns the answers of a runner, which turns away what it has no slot for.
func (d *brittleDay) answers() func(u *upstream, rw http.ResponseWriter, r *http.Request) bool {
	taken := make(chan struct{}, slots)
	return func(_ *upstream, rw http.ResponseWriter, _ *http.Request) bool {
		if d.brittle.Load() {
			rw.Header().Set("Server-Brittle", "3")
		}
		rw.Header().Set(serverLoad, fmt.Sprintf("%d,0,%d", len(taken), slots))
		select {
		case taken <- struct{}{}:
		default:
			rw.Header().Set(notExecuted, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		time.Sleep(workTime)
		<-taken
		return false
	}
}

// even sends requests for a time, evenly to all machines.
func (d *brittleDay) even(length time.Duration) tally { return d.send(evenPause, length, nil) }

// send sends requests for a time, most of them to one machine unless it is nil, and waits for the answers.
func (d *brittleDay) send(pause, length time.Duration, most *instance) tally {
	var t tally
	var lock sync.Mutex
	var all sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause))) //nolint:gosec // no secret
		i := d.w.instances[rand.IntN(len(d.w.instances))]             //nolint:gosec // no secret
		if most != nil && rand.Float64() < skewShare {                //nolint:gosec // no secret
			i = most
		}
		id := fmt.Sprintf("request-%d", d.number.Add(1))
		all.Go(func() {
			r := d.w.send(i, "POST", "/stock/17", id, patience)
			lock.Lock()
			defer lock.Unlock()
			if t.sent++; r.status == http.StatusOK && r.err == nil && r.header.Get(seal) != "" {
				t.served++
			}
		})
	}
	all.Wait()
	return t
}
