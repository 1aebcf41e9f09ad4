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
	// stopAcceptTime is how long a stopping instance still accepts connections. The balancer checks
	// readiness once a second and removes the instance after two failed checks.
	stopAcceptTime = 3 * time.Second
	// stopReserve is the part of the stop timeout that is kept for the final shutdown.
	stopReserve = 500 * time.Millisecond
)

// stopState records whether a planned stop has begun.
type stopState struct{ begun atomic.Bool }

func (s *stopState) stopping() bool { return s.begun.Load() }

// ready reports whether the balancer may send callers to this instance: routes and some upstreams
// are known, and no stop has begun.
func (i *Instance) ready() bool {
	return !i.stopState.stopping() && i.catalog.Catalog() != nil && i.directory.Snapshot().Len() > 0
}

// waitStop waits for a signal and carries out a planned stop. Readiness ends at once, connections
// are accepted until the balancer has noticed, and requests in flight run to their end. The servers
// are shut down one after the other: until its callers' requests have ended, the instance answers
// other instances, because in an outage of the store an owner's lease extension may need this
// instance's grant.
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
		// Requests still in flight when limit expires are cut off when the process ends.
		_ = s.Shutdown(limit)
	}
	if n := i.gateway.InFlight(); n > 0 {
		i.Log.Log(snipelog.StopForced, snipelog.Fields{"InFlight": n})
	}
	return nil
}

// reload reads the settings file again. An invalid file changes nothing.
func (i *Instance) reload() {
	s, err := i.Reload()
	if err != nil {
		i.Log.Error(snipelog.SettingsRefused, err, nil)
		return
	}
	i.Log.Log(snipelog.SettingsReloaded, snipelog.Fields{"Changed": !reflect.DeepEqual(s, i.Settings)})
}
