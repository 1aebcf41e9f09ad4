package snipesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

// runner is a simulated upstream.
type runner = snipestand.Runner

// fault is a kind of fault.
type fault struct {
	name string
	// inject begins the fault, ends it after d where it has a length, and returns what was
	// affected, for the log of faults.
	inject func(s *Soak, r *rand.Rand, d time.Duration) string
}

const (
	// minFaultLength and maxFaultLength bound the length of a fault. They lie below and above
	// all leases and timeouts.
	minFaultLength = 200 * time.Millisecond
	maxFaultLength = 7 * time.Second
	// maxFaultGap bounds the time between the beginnings of two faults. It is shorter than
	// maxFaultLength, so that faults overlap.
	maxFaultGap = 2500 * time.Millisecond
	// maxFaultyRequests bounds the requests or orders that one fault of the upstreams affects.
	maxFaultyRequests = 25
)

var faults = []fault{
	{"kill", killInstance},
	{"stop", stopInstance},
	{"freeze", freezeInstance},
	{"reload", reloadInstance},
	{"cut the store off", cutStore},
	{"cut an upstream off", cutUpstream},
	{"the store misbehaves", disruptStore},
	{"upstreams misbehave", disruptUpstreams},
	{"history lost", loseHistory},
	{"settings change", changeSettings},
	{"new version", newVersion},
	{"kill all", killAll},
	{"an upstream starts again", restartUpstream},
	{"an entry is nonsense", writeInvalidEntry},
	{"an upstream names a limit", announceLimit},
	{"an upstream says that it leaves", announceLeaving},
	{"an upstream asks for rest", requestBackoff},
	{"the coordinator is lost", loseCoordinator},
	{"a request crashes upstreams", crashUpstreams},
	{"upstreams fail all requests", failUpstreams},
}

// injectFaults begins faults drawn from the seed until Length has passed or ctx ends, and waits
// until all have ended.
func (s *Soak) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 77)) //nolint:gosec // the same faults for the same seed
	var running sync.WaitGroup
	all := s.drawnFaults()
	next := func() fault { return all[r.IntN(len(all))] }
	if rangeOf(s.Seed).startsWithLast {
		next = startingWith(all[len(all)-1], next)
	}
	for end := time.Now().Add(s.Length); time.Now().Before(end) && ctx.Err() == nil; {
		f := next()
		d := minFaultLength + time.Duration(r.Int64N(int64(maxFaultLength-minFaultLength)))
		random := rand.New(rand.NewPCG(r.Uint64(), 1)) //nolint:gosec // as above
		running.Go(func() {
			detail := f.inject(s, random, d)
			// An error from writing the log of faults does not affect the run.
			_, _ = fmt.Fprintf(s.Out, "%s: %s for %s\n", f.name, detail, d.Round(time.Millisecond))
		})
		time.Sleep(time.Duration(r.Int64N(int64(maxFaultGap))))
	}
	running.Wait()
}

// startingWith returns a function that returns first once, and then what next returns.
func startingWith(first fault, next func() fault) func() fault {
	begun := false
	return func() fault {
		if begun {
			return next()
		}
		begun = true
		return first
	}
}

func (s *Soak) pickInstance(r *rand.Rand) *instance { return s.instances[r.IntN(len(s.instances))] }

// restart starts an instance whose process has ended.
func (s *Soak) restart(i *instance) {
	if err := i.start(); err != nil {
		s.breach("the soak itself", "start %s: %v", i.name, err)
	}
}

func killInstance(s *Soak, r *rand.Rand, d time.Duration) string {
	i := s.pickInstance(r)
	i.faultLock.Lock()
	defer i.faultLock.Unlock()
	return s.killFor(i, d/4)
}

// killFor kills an instance, starts it again after d and returns its name. Its faultLock is held.
func (s *Soak) killFor(i *instance, d time.Duration) string {
	defer s.disturb(i.name)()
	i.kill()
	time.Sleep(d)
	s.restart(i)
	return i.name
}

func killAll(s *Soak, _ *rand.Rand, d time.Duration) string {
	var all sync.WaitGroup
	for _, i := range s.instances {
		all.Go(func() {
			i.faultLock.Lock()
			defer i.faultLock.Unlock()
			defer s.disturb(i.name)()
			i.kill()
			time.Sleep(d / 4)
			s.restart(i)
		})
	}
	all.Wait()
	return "all"
}

func stopInstance(s *Soak, r *rand.Rand, _ time.Duration) string {
	i := s.pickInstance(r)
	i.faultLock.Lock()
	defer i.faultLock.Unlock()
	defer s.disturbAsPlanned(i.name)()
	i.signal(syscall.SIGTERM)
	i.wait()
	s.restart(i)
	return i.name
}

func freezeInstance(s *Soak, r *rand.Rand, d time.Duration) string {
	i := s.pickInstance(r)
	i.faultLock.Lock()
	defer i.faultLock.Unlock()
	return s.freezeFor(i, d)
}

// freezeFor freezes an instance for d and returns its name. Its faultLock is held.
func (s *Soak) freezeFor(i *instance, d time.Duration) string {
	defer s.disturb(i.name)()
	i.signal(syscall.SIGSTOP)
	time.Sleep(d)
	s.lock.Lock()
	s.resumed[i.name] = append(s.resumed[i.name], time.Now())
	s.lock.Unlock()
	i.signal(syscall.SIGCONT)
	return i.name
}

func reloadInstance(s *Soak, r *rand.Rand, _ time.Duration) string {
	i := s.pickInstance(r)
	i.signal(syscall.SIGHUP)
	return i.name
}

var cutModes = []snipestand.CutMode{
	snipestand.CutBoth, snipestand.CutForward, snipestand.CutBack, snipestand.CutStale, snipestand.CutRefuse,
}

// cutLink cuts a link in a random mode and restores it after d.
func (s *Soak) cutLink(r *rand.Rand, link int, d time.Duration) string {
	l := s.cutter.Links[link].Listen
	mode := cutModes[r.IntN(len(cutModes))]
	if err := s.cutter.Cut(l, mode); err != nil {
		s.breach("the soak itself", "cut: %v", err)
	}
	time.Sleep(d)
	if err := s.cutter.Cut(l, snipestand.CutNone); err != nil {
		s.breach("the soak itself", "mend: %v", err)
	}
	return fmt.Sprint(link, " ", mode)
}

func cutStore(s *Soak, r *rand.Rand, d time.Duration) string {
	n := r.IntN(s.Instances)
	defer s.disturb(s.instances[n].name)()
	return s.cutLink(r, n, d)
}

func cutUpstream(s *Soak, r *rand.Rand, d time.Duration) string {
	n := r.IntN(len(s.runners))
	defer s.disturb(s.runners[n].ID)()
	return s.cutLink(r, s.Instances+n, d)
}

// disruptStore makes the store refuse calls, leave them unanswered or lose its answers.
func disruptStore(s *Soak, r *rand.Rand, d time.Duration) string {
	modes := []snipestand.StoreMode{snipestand.StoreRefuses, snipestand.StoreSilent, snipestand.StoreLosesAnswers}
	mode := modes[r.IntN(len(modes))]
	defer s.disturb(storeName)()
	s.store.SetMode(mode)
	time.Sleep(d)
	s.store.SetMode(snipestand.StoreNormal)
	return fmt.Sprint("mode ", mode)
}

var upstreamFaults = []snipestand.RunnerFault{
	snipestand.RunnerErrors, snipestand.RunnerRefuses, snipestand.RunnerResets, snipestand.RunnerTruncates,
	snipestand.RunnerWrongID, snipestand.RunnerUnsigned, snipestand.RunnerLosesOrders, snipestand.RunnerLateOrders,
	snipestand.RunnerBusyErrors,
}

// disruptUpstreams makes the upstreams fail requests or orders for d, but no more than a random number.
func disruptUpstreams(s *Soak, r *rand.Rand, d time.Duration) string {
	all := upstreamFaults[:rangeOf(s.Seed).upstreamFaults]
	f := all[r.IntN(len(all))]
	n := 1 + r.IntN(maxFaultyRequests)
	s.faults.Set(f, n)
	time.Sleep(d)
	s.faults.Set(snipestand.RunnerNoFault, 0)
	return fmt.Sprint("fault ", f, " of ", n)
}

// unframedFault makes upstreams answer without a length or chunks.
var unframedFault = fault{"answers end with their connection", answerUnframed}

// answerUnframed makes the answers of the upstreams end with their connection for d. Half of the times,
// streams end inside an event.
func answerUnframed(s *Soak, r *rand.Rand, d time.Duration) string {
	f := snipestand.RunnerUnframed
	if r.IntN(2) == 0 {
		f = snipestand.RunnerTruncatesUnframed
	}
	s.faults.Set(f, unframedRequests)
	time.Sleep(d)
	s.faults.Set(snipestand.RunnerNoFault, 0)
	return fmt.Sprint("fault ", f)
}

// unframedRequests is more than the requests that the upstreams receive during a fault.
const unframedRequests = 1 << 20

// loseHistory makes the store discard its change history, so that readers must read the tables
// anew.
func loseHistory(s *Soak, _ *rand.Rand, _ time.Duration) string {
	s.store.Compact()
	return "all"
}

// changeSettings writes the next version of the catalog.
func changeSettings(s *Soak, _ *rand.Rand, _ time.Duration) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.declare(); err != nil {
		return err.Error()
	}
	return fmt.Sprint("version ", s.version)
}

// newVersion announces a new version of a random adapter at the upstreams and in the store.
func newVersion(s *Soak, r *rand.Rand, _ time.Duration) string {
	adapter := fmt.Sprint("a", r.IntN(adapters))
	version := time.Now().UnixMilli()
	for _, u := range s.runners {
		u.SetNewestVersion(adapter, version)
	}
	if err := s.store.DeclareVersion("base", adapter, version); err != nil {
		return err.Error()
	}
	return adapter
}

// restartUpstream simulates a restart of an upstream, which keeps its identifier.
func restartUpstream(s *Soak, r *rand.Rand, _ time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	u.Restart()
	return u.ID
}

// writeInvalidEntry makes an upstream's entry in the registry invalid for d.
func writeInvalidEntry(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	u.SetInvalidEntry(true)
	time.Sleep(d)
	u.SetInvalidEntry(false)
	return u.ID
}
