package snipestand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrBadPlan is returned for a plan that cannot be made.
var ErrBadPlan = errors.New("bad plan of faults")

// Step is one step of a plan of faults. Whoever started the processes carries
// it out.
type Step struct {
	// At is when, from the start of the replay.
	At time.Duration
	// Action is what: kill, drain, start, freeze, thaw, cut, platform, engine,
	// race, change or leave.
	Action string
	// Target is the process or link, Argument what the action needs.
	Target, Argument string
}

// PlanShape says what plan to make.
type PlanShape struct {
	// Seed makes the plan.
	Seed uint64
	// Faults is how many faults, all of which have ended by Length.
	Faults int
	Length time.Duration
	// Instances, Engines and Services are how many there are.
	Instances, Engines, Services int
	// Lease is how long a frozen instance must sleep to lose its lease.
	Lease time.Duration
}

// Times of faults.
const (
	planGrace   = time.Second
	shortFault  = time.Second
	longFault   = 5 * time.Second
	freezeExtra = 2 * time.Second
	slowTable   = 400
	lostReplies = 5
	failedLoads = 4
	maxChunks   = 6
)

// planner is the state of one plan.
type planner struct {
	PlanShape
	random *rand.Rand
	steps  []Step
}

// faultKinds are the kinds of faults; each adds its steps.
var faultKinds = []func(*planner, time.Duration){
	func(p *planner, at time.Duration) { p.kill(at, p.pick("instance", p.Instances)) },
	func(p *planner, at time.Duration) { p.kill(at, p.pick("engine", p.Engines)) },
	func(p *planner, at time.Duration) { p.kill(at, p.pick("service", p.Services)) },
	func(p *planner, at time.Duration) {
		p.freeze(at, p.pick("instance", p.Instances), p.Lease+freezeExtra)
	},
	func(p *planner, at time.Duration) { p.freeze(at, p.pick("engine", p.Engines), p.duration()) },
	func(p *planner, at time.Duration) { p.freeze(at, p.pick("service", p.Services), p.duration()) },
	func(p *planner, at time.Duration) { p.freeze(at, "platform", p.duration()) },
	func(p *planner, at time.Duration) { p.platform(at, `{"Down":true}`) },
	func(p *planner, at time.Duration) {
		p.platform(at, fmt.Sprintf(`{"DelayMilliseconds":%d}`, slowTable))
	},
	func(p *planner, at time.Duration) { p.platform(at, fmt.Sprintf(`{"LoseReplies":%d}`, lostReplies)) },
	func(p *planner, at time.Duration) { p.cut(at, p.pick("table", p.Instances)) },
	func(p *planner, at time.Duration) { p.cut(at, p.pick("caller", p.Instances)) },
	func(p *planner, at time.Duration) { p.cut(at, p.pick("peer", p.Instances)) },
	func(p *planner, at time.Duration) { p.cut(at, p.pick("toengine", p.Engines)) },
	func(p *planner, at time.Duration) { p.cut(at, p.pick("toservice", p.Services)) },
	func(p *planner, at time.Duration) {
		p.add(at, "engine", p.pick("engine", p.Engines), fmt.Sprintf(`{"FailLoads":%d}`, failedLoads))
	},
	func(p *planner, at time.Duration) { p.stream(at, `{"SilentAfter":%d}`) },
	func(p *planner, at time.Duration) { p.stream(at, `{"BreakAfter":%d}`) },
	func(p *planner, at time.Duration) { p.add(at, "race", "ash", "") },
	func(p *planner, at time.Duration) { p.add(at, "change", "bottling", "") },
	func(p *planner, at time.Duration) {
		target := p.pick("instance", p.Instances)
		p.add(at, "drain", target, "")
		p.add(at+longFault, "start", target, "")
	},
	func(p *planner, at time.Duration) {
		// The last service leaves, and only once.
		if !slices.ContainsFunc(p.steps, func(s Step) bool { return s.Action == "leave" }) {
			p.add(at, "leave", fmt.Sprintf("service%d", p.Services), "")
		}
	},
}

// Plan makes a plan of faults, in the order of time. Faults overlap as the
// seed has it: together, twice, any.
func Plan(s PlanShape) ([]Step, error) {
	if s.Instances < 1 || s.Engines < 1 || s.Services < 1 || s.Faults < 0 {
		return nil, errors.Wrap(ErrBadPlan, "needs an instance, an engine and a service")
	}
	if s.Length < s.Lease+freezeExtra+longFault+planGrace {
		return nil, errors.Wrapf(ErrBadPlan, "length %s is too short", s.Length)
	}
	// The seed makes the plan repeatable; nothing here is secret.
	p := &planner{PlanShape: s, random: rand.New(rand.NewPCG(s.Seed, 0))} //nolint:gosec // see above
	last := s.Length - max(longFault, s.Lease+freezeExtra) - planGrace
	for range s.Faults {
		at := planGrace + time.Duration(p.random.Int64N(int64(last)))
		faultKinds[p.random.IntN(len(faultKinds))](p, at.Round(time.Millisecond))
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return int(a.At - b.At) })
	return p.steps, nil
}

func (p *planner) add(at time.Duration, action, target, argument string) {
	p.steps = append(p.steps, Step{At: at, Action: action, Target: target, Argument: argument})
}

func (p *planner) pick(name string, count int) string {
	return fmt.Sprintf("%s%d", name, 1+p.random.IntN(count))
}

// duration returns how long a fault lasts.
func (p *planner) duration() time.Duration {
	return (shortFault + time.Duration(p.random.Int64N(int64(longFault-shortFault)))).Round(time.Millisecond)
}

func (p *planner) kill(at time.Duration, target string) {
	p.add(at, "kill", target, "")
	p.add(at+p.duration(), "start", target, "")
}

func (p *planner) freeze(at time.Duration, target string, d time.Duration) {
	p.add(at, "freeze", target, "")
	p.add(at+d, "thaw", target, "")
}

func (p *planner) platform(at time.Duration, fault string) {
	p.add(at, "platform", "platform", fault)
	p.add(at+p.duration(), "platform", "platform", "{}")
}

// stream makes an engine's connections fail after some chunks, for a while.
func (p *planner) stream(at time.Duration, fault string) {
	target := p.pick("engine", p.Engines)
	p.add(at, "engine", target, fmt.Sprintf(fault, 1+p.random.IntN(maxChunks)))
	p.add(at+p.duration(), "engine", target, "{}")
}

func (p *planner) cut(at time.Duration, link string) {
	modes := []CutMode{CutBoth, CutForward, CutBack, CutStale, CutRefuse}
	p.add(at, "cut", link, string(modes[p.random.IntN(len(modes))]))
	p.add(at+p.duration(), "cut", link, string(CutNone))
}

// WritePlan prints a plan, a step a line: milliseconds, action, target and
// argument.
func WritePlan(w io.Writer, steps []Step) error {
	for _, s := range steps {
		if _, err := fmt.Fprintf(w, "%d %s %s %s\n", s.At.Milliseconds(), s.Action, s.Target, s.Argument); err != nil {
			return errors.Wrap(err, "write plan")
		}
	}
	return nil
}
