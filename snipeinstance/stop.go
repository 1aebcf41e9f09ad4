package snipeinstance

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
)

// Errors returned by a stop that did not complete gracefully.
var (
	// ErrForced reports that a second signal ended the stop.
	ErrForced = errors.New("stopped by a second signal")
	// ErrStopTimeout reports that StopTimeout expired before the stop had completed. Calls that are
	// still in flight are cut off.
	ErrStopTimeout = errors.New("calls were cut at the end of StopTimeout")
)

// finalAnswerTime is the time before the end of StopTimeout in which the calls that are still in flight are answered.
const finalAnswerTime = 500 * time.Millisecond

// phase is the phase of the instance's life: starting, ready, stopping. The phase never goes back,
// so readiness stays off once a stop has begun.
type phase struct{ value atomic.Int32 }

const (
	phaseStarting int32 = iota
	phaseReady
	phaseStopping
)

// setReady turns readiness on. It returns false if the instance was not starting, in particular
// after a stop has begun.
func (p *phase) setReady() bool { return p.value.CompareAndSwap(phaseStarting, phaseReady) }

func (p *phase) ready() bool { return p.value.Load() == phaseReady }

func (p *phase) stop() { p.value.Store(phaseStopping) }

// closeWhenStopping adds "Connection: close" to answers once a stop has begun, so that the balancer
// replaces its kept connections by connections to other instances. Closing the connections on this
// side could cut off a request that is in transit.
func (p *phase) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.value.Load() == phaseStopping {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop carries out a planned stop: it turns readiness off and starts to release the owned engines;
// after the notice period, in which the balancer detects that the instance is not ready, it refuses
// new calls; then it waits until the calls in flight, including those of peers, have finished and
// the engines are released.
type stop struct {
	// notice is the time for the balancer to detect that the instance is not ready, limit bounds
	// the whole stop, and handover bounds the wait for the release of engines once no call is in
	// flight.
	notice, limit, handover time.Duration
	// signals ends the stop at once when it receives a signal.
	signals <-chan os.Signal
	// unready turns readiness off, leave announces the stop and starts the release of the engines,
	// refuse refuses new calls.
	unready, leave, refuse func()
	// end ends the calls that are still in flight at a time shortly before the limit. It returns when it has, or when ctx
	// ends.
	end func(ctx context.Context, at time.Time)
	// calls returns the number of calls in flight, owned the number of engines still owned.
	calls, owned func() int
	log          *snipelog.Logger
}

// run carries out the stop. It returns nil when the stop has completed, when the handover has timed
// out, or when ctx has ended; ErrForced after a second signal; ErrStopTimeout when the limit has
// expired.
func (s *stop) run(ctx context.Context) error {
	s.log.Log(snipelog.Stopping, nil)
	s.unready()
	s.leave()
	ending, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	end := time.Now().Add(s.limit - min(finalAnswerTime, s.limit/2))
	running.Go(func() { s.end(ending, end) })
	limit := time.NewTimer(s.limit)
	defer limit.Stop()
	noticed := time.NewTimer(s.notice)
	defer noticed.Stop()
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	refusing := false
	var idleSince time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.signals:
			s.log.Log(snipelog.StopForced, nil)
			return ErrForced
		case <-limit.C:
			s.log.Log(snipelog.StopForced, nil)
			return ErrStopTimeout
		case <-noticed.C:
			s.refuse()
			refusing = true
		case <-t.C:
		}
		switch {
		case !refusing || s.calls() > 0:
			idleSince = time.Time{}
			continue
		case s.owned() == 0:
			return nil
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) >= s.handover:
			// Other instances take over the engines when the lease has expired.
			s.log.Log(snipelog.HandoverFailed, snipelog.Fields{"Engines": s.owned()})
			return nil
		}
	}
}

// Stop starts a graceful stop and returns at once.
func (i *Instance) Stop() {
	select {
	case i.stopping <- struct{}{}:
	default:
	}
}

// waitStop waits for a signal or a drain order and carries out the stop. Unless the stop was
// forced, it then waits for the claim rows and announces that this instance has left. It returns
// nil when ctx ends first.
func (i *Instance) waitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.signals:
	case <-i.stopping:
	}
	s := &stop{
		notice: i.Config.StopNotice.Value(), limit: i.Config.StopTimeout.Value(), handover: i.Config.Lease.Value(),
		signals: i.signals, unready: i.phase.stop, leave: i.leave, refuse: i.callers.Stop,
		calls: func() int { return int(i.callers.InFlight()) + i.peers.InFlight() },
		owned: func() int { return len(i.holder.Owned()) },
		end: func(ctx context.Context, at time.Time) {
			i.callers.Ending.Begin(at)
			i.callers.Ending.Run(ctx)
		},
		log: i.Log,
	}
	err := s.run(ctx)
	if !errors.Is(err, ErrForced) {
		i.finish(ctx)
	}
	return err
}

// leave announces the stop to the other instances and starts the release of the owned engines.
func (i *Instance) leave() {
	i.members.Leave()
	i.holder.Leave()
}

// watchReady turns readiness on once settings are in force and the lease holder has a view of the
// instances and owners, unless a stop has begun. It returns when ctx ends.
func (i *Instance) watchReady(ctx context.Context) error {
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if i.settings.Current() != nil && len(i.holder.View().Instances) > 0 {
			if i.phase.setReady() {
				i.Log.Log(snipelog.Ready, nil)
			}
			<-ctx.Done()
			return nil
		}
	}
}
