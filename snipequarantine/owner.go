package snipequarantine

import (
	"context"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// Enter waits until a call may run at an upstream that this instance owns; see
// Isolation. The alias is what the call runs under there. The caller calls done
// with the call's failure. The owner knows best whether the upstream has
// crashed, and tells before it passes the failure on.
func (g *Guard) Enter(ctx context.Context, c *snipecall.Call, alias string) (done func(error), err error) {
	leave, err := g.Isolation.Enter(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := g.start(ctx, c); err != nil {
		leave(err)
		return nil, err
	}
	return func(err error) {
		// In this order: no suspect starts here before the crash is known.
		g.watch(c, alias, err)
		leave(err)
	}, nil
}

// start tells the coordinator that a suspect's turn has come.
func (g *Guard) start(ctx context.Context, c *snipecall.Call) error {
	if !c.Alone {
		return nil
	}
	a := Attempt{Fingerprint: FingerprintOf(c), ID: c.Attempt, Upstream: c.Upstream, Started: true}
	v, member, err := g.ask(ctx, a)
	if err != nil {
		return err
	}
	if v.Decision == RunAlone {
		g.others(ctx, member, a)
		return nil
	}
	return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "coordinator has changed").After(v.Wait)
}

func (g *Guard) watch(c *snipecall.Call, alias string, err error) {
	e := endOf(c, err)
	if c.Attempt == "" || e == Answered || e == Refused && !c.Alone {
		return
	}
	a := Attempt{Fingerprint: FingerprintOf(c), ID: c.Attempt, Upstream: c.Upstream, Mark: alias, Alone: c.Alone}
	if e == Refused {
		g.tell(a, Withdrawn)
		return
	}
	if alias == "" {
		return
	}
	if e == Crashed && !g.survived(a) {
		g.tell(a, Crashed)
		return
	}
	go g.verify(a)
}

// verify finds out whether an upstream has survived an attempt that was
// abandoned, and reports the crash if not.
func (g *Guard) verify(a Attempt) {
	if a.Mark == "" {
		return
	}
	time.Sleep(g.Registry.Linger / 2)
	if !g.survived(a) {
		g.tell(a, Crashed)
	}
}

// verifyOrphan does the same for an attempt whose entry instance is gone. This
// instance has let it start and knows most of it, whoever coordinates now.
func (g *Guard) verifyOrphan(a Attempt) {
	time.Sleep(g.Registry.Linger / 2)
	if a.Mark == "" || !g.survived(a) {
		g.Registry.Finish(a, Crashed)
	}
}

func (g *Guard) survived(a Attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return g.Survived(ctx, a.Upstream, a.Mark)
}
