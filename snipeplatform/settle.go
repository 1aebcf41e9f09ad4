package snipeplatform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipetime"
)

// Pauses between two sendings of one operation.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Settle makes a write and finds out what became of it: while the outcome is
// unknown it sends the same operation again, which does nothing when the first
// sending took effect. The result is ErrUnknown only when ctx ended first; the
// write may then still take effect.
func (t Table) Settle(ctx context.Context, operation string, changes []Change) error {
	unknown := false
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
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
		if !snipetime.Sleep(ctx, pause) {
			return errors.Wrapf(ErrUnknown, "%v, last: %v", ctx.Err(), err)
		}
	}
}
