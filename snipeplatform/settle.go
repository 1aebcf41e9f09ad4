package snipeplatform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipetime"
)

// Delays between two attempts of one write. The delay doubles with each attempt up to maxDelay.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = time.Second
)

// Settle makes a write and determines its outcome. While the outcome is unknown, Settle repeats
// the write with the same operation, which has no effect if an earlier attempt has taken effect.
// After an unknown outcome ErrUnavailable does not end the attempts, since it concerns only the
// last one. Settle returns ErrUnknown only if ctx ends first; the write may then still take
// effect.
func (t Table) Settle(ctx context.Context, operation string, changes []Change) error {
	unknown := false
	for delay := firstDelay; ; delay = min(2*delay, maxDelay) {
		err := t.Write(ctx, operation, changes)
		switch {
		case err == nil || errors.Is(err, ErrConflict):
			return err
		case errors.Is(err, ErrUnavailable) && !unknown:
			return err
		}
		unknown = unknown || errors.Is(err, ErrUnknown)
		if !unknown {
			return err
		}
		if !snipetime.Sleep(ctx, delay) {
			return errors.Wrapf(ErrUnknown, "%v, last: %v", ctx.Err(), err)
		}
	}
}
