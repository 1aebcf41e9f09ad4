package snipequarantine

import (
	"context"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// Enter admits a call at an upstream that this instance owns; see Isolation. The call
// runs there under alias. The caller calls done with the call's failure. The owner has
// the best information on whether the upstream has crashed, so done reports a crash
// before the owner passes the failure on.
func (g *Guard) Enter(ctx context.Context, c *snipecall.Call, alias string) (done func(error), err error) {
	release, err := g.Isolation.Enter(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := g.reportStart(ctx, c); err != nil {
		release(err)
		return nil, err
	}
	return func(err error) {
		// The order matters: no suspect may start here before the crash is recorded.
		g.reportOwnerEnd(c, alias, err)
		release(err)
	}, nil
}

// reportStart reports to the coordinators that a suspect was admitted at its upstream.
func (g *Guard) reportStart(ctx context.Context, c *snipecall.Call) error {
	if !c.Alone {
		return nil
	}
	a := Attempt{Fingerprint: FingerprintOf(c), ID: c.Attempt, Upstream: c.Upstream, Started: true}
	v, member, err := g.ask(ctx, a)
	if err != nil {
		return err
	}
	if v.Decision == RunAlone {
		g.registerWithOthers(ctx, member, a)
		return nil
	}
	return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "coordinator has changed").After(v.Wait)
}

// reportOwnerEnd reports the end of an attempt as far as the owner of the upstream has to:
// a suspect that was refused as Withdrawn, and a crash if the upstream has not survived.
// After other ends of a call that may still run, it checks the upstream in the
// background. The entry instance reports the remaining ends.
func (g *Guard) reportOwnerEnd(c *snipecall.Call, alias string, err error) {
	e := classifyEnd(c, err)
	if c.Attempt == "" || e == Answered || e == Refused && !c.Alone {
		return
	}
	a := Attempt{Fingerprint: FingerprintOf(c), ID: c.Attempt, Upstream: c.Upstream, Mark: alias, Alone: c.Alone}
	if e == Refused {
		g.report(a, Withdrawn)
		return
	}
	if alias == "" {
		return
	}
	if e == Crashed && !g.survived(a) {
		g.report(a, Crashed)
		return
	}
	go g.verify(a)
}

// verify waits for half of Linger, checks whether the upstream has survived an attempt
// that may still run there, and reports a crash if it has not. It does nothing for an
// attempt without a mark.
func (g *Guard) verify(a Attempt) {
	if a.Mark == "" {
		return
	}
	time.Sleep(g.Registry.Linger / 2)
	if !g.survived(a) {
		g.report(a, Crashed)
	}
}

// verifyOrphan does the same for an attempt whose entry instance is gone. It reports to
// this instance's own registry, which has the most information on the attempt,
// whichever instance coordinates it now. An attempt without a mark counts as a crash.
func (g *Guard) verifyOrphan(a Attempt) {
	time.Sleep(g.Registry.Linger / 2)
	if a.Mark == "" || !g.survived(a) {
		g.Registry.Finish(a, Crashed)
	}
}

// survived calls Survived for an attempt that has a mark, with a timeout of one second.
func (g *Guard) survived(a Attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return g.Survived(ctx, a.Upstream, a.Mark)
}
