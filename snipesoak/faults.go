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

// runner is an upstream of the soak.
type runner = snipestand.Runner

// fault begins a fault and ends it after a while.
type fault struct {
	name string
	play func(s *Soak, r *rand.Rand, d time.Duration) string
}

const (
	// shortest and longest bound the length of a fault: below and above all leases
	// and timeouts.
	shortest = 200 * time.Millisecond
	longest  = 7 * time.Second
	// betweenMost bounds the time between the beginnings of two faults, so that they
	// overlap.
	betweenMost = 2500 * time.Millisecond
	// mostSpoiled bounds the requests that one fault of upstreams spoils.
	mostSpoiled = 25
)

var faults = []fault{
	{"kill", killInstance},
	{"stop", stopInstance},
	{"freeze", freezeInstance},
	{"reload", reloadInstance},
	{"cut the store off", cutStore},
	{"cut an upstream off", cutUpstream},
	{"the store misbehaves", spoilStore},
	{"upstreams misbehave", spoilUpstreams},
	{"history lost", loseHistory},
	{"settings change", changeSettings},
	{"new version", newVersion},
	{"kill all", killAll},
	{"an upstream starts again", startAgain},
	{"an entry is nonsense", writeNonsense},
	{"an upstream names a limit", nameLimit},
	{"an upstream says that it leaves", sayLeaving},
	{"an upstream asks for rest", askRest},
}

// Seeds below some numbers draw from the faults and the spoils that came first in their lists, so
// that those that once showed a fault still draw what they drew then.
const (
	firstSeeds   = 1000
	firstFaults  = 12
	firstSpoils  = 7
	secondSeeds  = 4000
	secondFaults = 14
)

// drawnFaults returns the faults that a seed draws from.
func drawnFaults(seed uint64) []fault {
	switch {
	case seed < firstSeeds:
		return faults[:firstFaults]
	case seed < secondSeeds:
		return faults[:secondFaults]
	default:
		return faults
	}
}

// drawnSpoils returns the spoils that a seed draws from.
func drawnSpoils(seed uint64) []snipestand.RunnerFault {
	if seed < firstSeeds {
		return spoils[:firstSpoils]
	}
	return spoils
}

// play begins faults, drawn from the seed, and waits until all have ended.
func (s *Soak) play(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 77)) //nolint:gosec // the same faults for the same seed
	var running sync.WaitGroup
	all := drawnFaults(s.Seed)
	for end := time.Now().Add(s.Length); time.Now().Before(end) && ctx.Err() == nil; {
		f := all[r.IntN(len(all))]
		d := shortest + time.Duration(r.Int64N(int64(longest-shortest)))
		own := rand.New(rand.NewPCG(r.Uint64(), 1)) //nolint:gosec // as above
		running.Go(func() {
			detail := f.play(s, own, d)
			// A plan that cannot be written changes nothing for the run.
			_, _ = fmt.Fprintf(s.Out, "%s: %s for %s\n", f.name, detail, d.Round(time.Millisecond))
		})
		time.Sleep(time.Duration(r.Int64N(int64(betweenMost))))
	}
	running.Wait()
}

func (s *Soak) pick(r *rand.Rand) *instance { return s.instances[r.IntN(len(s.instances))] }

// again starts an instance that has ended.
func (s *Soak) again(i *instance) {
	if err := i.start(); err != nil {
		s.breach("the soak itself", "start %s: %v", i.name, err)
	}
}

func killInstance(s *Soak, r *rand.Rand, d time.Duration) string {
	i := s.pick(r)
	i.turn.Lock()
	defer i.turn.Unlock()
	defer s.disturb(i.name)()
	i.kill()
	time.Sleep(d / 4)
	s.again(i)
	return i.name
}

func killAll(s *Soak, _ *rand.Rand, d time.Duration) string {
	var all sync.WaitGroup
	for _, i := range s.instances {
		all.Go(func() {
			i.turn.Lock()
			defer i.turn.Unlock()
			defer s.disturb(i.name)()
			i.kill()
			time.Sleep(d / 4)
			s.again(i)
		})
	}
	all.Wait()
	return "all"
}

func stopInstance(s *Soak, r *rand.Rand, _ time.Duration) string {
	i := s.pick(r)
	i.turn.Lock()
	defer i.turn.Unlock()
	defer s.disturb(i.name)()
	i.signal(syscall.SIGTERM)
	i.wait()
	s.again(i)
	return i.name
}

func freezeInstance(s *Soak, r *rand.Rand, d time.Duration) string {
	i := s.pick(r)
	i.turn.Lock()
	defer i.turn.Unlock()
	defer s.disturb(i.name)()
	i.signal(syscall.SIGSTOP)
	time.Sleep(d)
	s.lock.Lock()
	s.thawed[i.name] = append(s.thawed[i.name], time.Now())
	s.lock.Unlock()
	i.signal(syscall.SIGCONT)
	return i.name
}

func reloadInstance(s *Soak, r *rand.Rand, _ time.Duration) string {
	i := s.pick(r)
	i.signal(syscall.SIGHUP)
	return i.name
}

var cuts = []snipestand.CutMode{
	snipestand.CutBoth, snipestand.CutForward, snipestand.CutBack, snipestand.CutStale, snipestand.CutRefuse,
}

// cut cuts one of the links and mends it.
func (s *Soak) cut(r *rand.Rand, link int, d time.Duration) string {
	l := s.cutter.Links[link].Listen
	mode := cuts[r.IntN(len(cuts))]
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
	return s.cut(r, n, d)
}

func cutUpstream(s *Soak, r *rand.Rand, d time.Duration) string {
	n := r.IntN(len(s.runners))
	defer s.disturb(s.runners[n].ID)()
	return s.cut(r, s.Instances+n, d)
}

func spoilStore(s *Soak, r *rand.Rand, d time.Duration) string {
	modes := []snipestand.StoreMode{snipestand.StoreRefuses, snipestand.StoreSilent, snipestand.StoreLosesAnswers}
	mode := modes[r.IntN(len(modes))]
	s.store.SetMode(mode)
	time.Sleep(d)
	s.store.SetMode(snipestand.StoreServes)
	return fmt.Sprint("mode ", mode)
}

var spoils = []snipestand.RunnerFault{
	snipestand.RunnerErrors, snipestand.RunnerSheds, snipestand.RunnerResets, snipestand.RunnerTears,
	snipestand.RunnerForeign, snipestand.RunnerUnsealed, snipestand.RunnerLosesOrders, snipestand.RunnerLateOrders,
}

func spoilUpstreams(s *Soak, r *rand.Rand, d time.Duration) string {
	all := drawnSpoils(s.Seed)
	f := all[r.IntN(len(all))]
	n := 1 + r.IntN(mostSpoiled)
	s.faults.Set(f, n)
	time.Sleep(d)
	s.faults.Set(snipestand.RunnerWorks, 0)
	return fmt.Sprint("fault ", f, " of ", n)
}

func loseHistory(s *Soak, _ *rand.Rand, _ time.Duration) string {
	s.store.Compact()
	return "all"
}

func changeSettings(s *Soak, _ *rand.Rand, _ time.Duration) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.declare(); err != nil {
		return err.Error()
	}
	return fmt.Sprint("version ", s.version)
}

func newVersion(s *Soak, r *rand.Rand, _ time.Duration) string {
	adapter := fmt.Sprint("a", r.IntN(adapters))
	version := time.Now().UnixMilli()
	for _, u := range s.runners {
		u.Announce(adapter, version)
	}
	if err := s.store.NameVersion("base", adapter, version); err != nil {
		return err.Error()
	}
	return adapter
}

// startAgain has an upstream start again under its identifier.
func startAgain(s *Soak, r *rand.Rand, _ time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	u.StartAgain()
	return u.ID
}

// writeNonsense has an upstream's entry be one that cannot be understood.
func writeNonsense(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	u.WriteNonsense(true)
	time.Sleep(d)
	u.WriteNonsense(false)
	return u.ID
}
