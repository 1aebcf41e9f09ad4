package snipeentry

import (
	"context"
	"net/http"
	"reflect"
	"sync/atomic"
	"syscall"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// stopAcceptTime is how long a stopping instance still takes connections: the
	// balancer asks once a second and takes it out after two misses.
	stopAcceptTime = 3 * time.Second
	// stopReserve is the part of the stop's time that is left for its end.
	stopReserve = 500 * time.Millisecond
)

// phase is how far the instance is in its life.
type stopState struct{ begun atomic.Bool }

func (s *stopState) stopping() bool { return s.begun.Load() }

// ready reports whether the balancer may send callers: routes and some upstreams
// are known and no stop has begun.
func (i *Instance) ready() bool {
	return !i.stopState.stopping() && i.catalog.Catalog() != nil && i.directory.Snapshot().Len() > 0
}

// waitStop waits for a signal and carries out a planned stop: readiness ends at
// once, connections are taken until the balancer has noticed, requests in flight
// end. The servers are shut down one after the other: until its callers' requests have
// ended the instance answers the others, whose right to order engines in an outage of the
// store hangs on the word of each instance that lives.
func (i *Instance) waitStop(ctx context.Context, servers []*http.Server) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-i.stopSignals:
			if s == syscall.SIGHUP {
				i.reload()
				continue
			}
		}
		break
	}
	i.Log.Log(snipelog.Stopping, snipelog.Fields{"InFlight": i.gateway.InFlight()})
	i.stopState.begun.Store(true)
	i.holder.Leave()
	limit, cancel := context.WithTimeout(ctx, i.Settings.StopTimeout.Value()-stopReserve)
	defer cancel()
	snipetime.Sleep(limit, stopAcceptTime)
	for _, s := range servers {
		// What is still in flight at the limit is cut by the end.
		_ = s.Shutdown(limit)
	}
	if n := i.gateway.InFlight(); n > 0 {
		i.Log.Log(snipelog.StopForced, snipelog.Fields{"InFlight": n})
	}
	return nil
}

// reload reads the settings file again. What a running instance can change is in
// force at once; a file that is wrong changes nothing.
func (i *Instance) reload() {
	s, err := i.Reload()
	if err != nil {
		i.Log.Error(snipelog.SettingsRefused, err, nil)
		return
	}
	i.Log.Log(snipelog.SettingsReloaded, snipelog.Fields{"Changed": !reflect.DeepEqual(s, i.Settings)})
}
