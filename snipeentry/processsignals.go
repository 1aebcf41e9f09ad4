package snipeentry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"sync"
	"syscall"

	"snipepitch.example/snipepitch/snipelog"
)

// processSignals are the signals to the process that wait to be handled. Those to stop wait apart from those to reload, so that no
// number of the latter hides or delays one of the former. The zero value is ready to use.
type processSignals struct {
	once sync.Once // makes the channels
	// stops and reloads hold one signal each: further ones ask for what is to be done already.
	stops, reloads chan os.Signal
}

func (p *processSignals) make() {
	p.once.Do(func() { p.stops, p.reloads = make(chan os.Signal, 1), make(chan os.Signal, 1) })
}

// notify begins to receive signals. The function that it returns ends that.
func (p *processSignals) notify() (stop func()) {
	p.make()
	signal.Notify(p.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(p.reloads, syscall.SIGHUP)
	return func() {
		signal.Stop(p.stops)
		signal.Stop(p.reloads)
	}
}

// put adds a signal to a channel as signal.Notify does: if one waits, it is dropped.
func put(c chan<- os.Signal, s os.Signal) {
	select {
	case c <- s:
	default:
	}
}

// Stop begins a planned stop, as SIGTERM does, and does not wait for its end. It may be called before Run.
func (i *Instance) Stop() {
	i.processSignals.make()
	put(i.processSignals.stops, syscall.SIGTERM)
}

// runReloads calls reload after each SIGHUP until ctx ends.
func (i *Instance) runReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.processSignals.reloads:
			i.reload()
		}
	}
}

// reload reads and checks the settings file, and logs an error or whether the settings differ from
// those in force. It does not apply the settings: a change comes into force when the process
// restarts.
func (i *Instance) reload() {
	s, err := i.Reload()
	if err != nil {
		i.Log.Error(snipelog.SettingsRefused, err, nil)
		return
	}
	i.Log.Log(snipelog.SettingsReloaded, snipelog.Fields{"Changed": !reflect.DeepEqual(s, i.Settings)})
}
