package snipeentry

import (
	"context"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// TestStopBehindReloads guards against a signal to stop that is dropped, or waits, behind signals to reload: the process would go on
// until it is killed, with all that it serves.
func TestStopBehindReloads(t *testing.T) {
	reading, held := make(chan struct{}, 1), make(chan struct{})
	i := &Instance{Reload: func() (Settings, error) {
		reading <- struct{}{}
		<-held
		return Settings{}, context.Canceled
	}}
	i.processSignals.make()
	put(i.processSignals.reloads, syscall.SIGHUP)
	go func() { _ = i.runReloads(t.Context()) }()
	<-reading
	for range 8 {
		put(i.processSignals.reloads, syscall.SIGHUP)
	}
	i.Stop()
	must.Eq(t, syscall.SIGTERM, (<-i.processSignals.stops).(syscall.Signal))
}
