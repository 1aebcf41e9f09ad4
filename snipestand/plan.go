package snipestand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrBadPlan reports a PlanShape for which no plan can be made.
var ErrBadPlan = errors.New("bad plan of faults")

// Step is one step of a fault plan. The program that started the processes executes it.
type Step struct {
	// At is the time of the step, from the start of the replay.
	At time.Duration
	// Action is one of kill, drain, start, freeze, thaw, cut, platform, engine, race, change and
	// leave.
	Action string
	// Target is the process or link that the action applies to, Argument the parameter of the
	// action; empty if it has none.
	Target, Argument string
}

// PlanShape holds the parameters of a fault plan.
type PlanShape struct {
	// Seed seeds the random source. The same parameters always give the same plan.
	Seed uint64
	// Faults is the number of faults. All of them end by Length, with two exceptions: a service
	// that leaves does not return, and failing loads last until their number is used up or a later
	// step replaces the faults of the engine.
	Faults int
	Length time.Duration
	// Instances, Engines and Services are the numbers of processes of each kind.
	Instances, Engines, Services int
	// Lease is how long an instance must be frozen to lose its lease.
	Lease time.Duration
}

// Times and sizes of faults. No fault starts within startGrace from the start of the replay.
const (
	startGrace             = time.Second
	minFault               = time.Second
	maxFault               = 5 * time.Second
	freezeMargin           = 2 * time.Second
	tableDelayMilliseconds = 400
	lostReplies            = 5
	failedLoads            = 4
	maxChunks              = 6
)

// planner holds the state of a plan while it is made.
type planner struct {
	PlanShape
	random *rand.Rand
	steps  []Step
}

// faultKinds are the kinds of faults. Each function adds the steps of one fault that starts at the
// given time.
var faultKinds = []func(*planner, time.Duration){
	func(p *planner, at time.Duration) { p.kill(at, p.pick("instance", p.Instances)) },
	func(p *planner, at time.Duration) { p.kill(at, p.pick("engine", p.Engines)) },
	func(p *planner, at time.Duration) { p.kill(at, p.pick("service", p.Services)) },
	func(p *planner, at time.Duration) {
		p.freeze(at, p.pick("instance", p.Instances), p.Lease+freezeMargin)
	},
	func(p *planner, at time.Duration) { p.freeze(at, p.pick("engine", p.Engines), p.duration()) },
	func(p *planner, at time.Duration) { p.freeze(at, p.pick("service", p.Services), p.duration()) },
	func(p *planner, at time.Duration) { p.freeze(at, "platform", p.duration()) },
	func(p *planner, at time.Duration) { p.platform(at, `{"Down":true}`) },
	func(p *planner, at time.Duration) {
		p.platform(at, fmt.Sprintf(`{"DelayMilliseconds":%d}`, tableDelayMilliseconds))
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
		p.add(at+maxFault, "start", target, "")
	},
	func(p *planner, at time.Duration) {
		// Only the last service leaves, and at most once in a plan.
		if !slices.ContainsFunc(p.steps, func(s Step) bool { return s.Action == "leave" }) {
			p.add(at, "leave", fmt.Sprintf("service%d", p.Services), "")
		}
	},
}

// Plan returns the steps of a fault plan in the order of time. Faults may overlap in any way:
// several can be in force at once, and the same fault can occur twice. It returns ErrBadPlan if
// there is not at least one process of each kind, or if the length is too short.
func Plan(s PlanShape) ([]Step, error) {
	if s.Instances < 1 || s.Engines < 1 || s.Services < 1 || s.Faults < 0 {
		return nil, errors.Wrap(ErrBadPlan, "needs an instance, an engine and a service")
	}
	if s.Length < s.Lease+freezeMargin+maxFault+startGrace {
		return nil, errors.Wrapf(ErrBadPlan, "length %s is too short", s.Length)
	}
	// A seeded source makes the plan repeatable. No secret depends on it.
	p := &planner{PlanShape: s, random: rand.New(rand.NewPCG(s.Seed, 0))} //nolint:gosec // see above
	window := s.Length - max(maxFault, s.Lease+freezeMargin) - startGrace
	for range s.Faults {
		at := startGrace + time.Duration(p.random.Int64N(int64(window)))
		faultKinds[p.random.IntN(len(faultKinds))](p, at.Round(time.Millisecond))
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return int(a.At - b.At) })
	return p.steps, nil
}

// add adds a step to the plan.
func (p *planner) add(at time.Duration, action, target, argument string) {
	p.steps = append(p.steps, Step{At: at, Action: action, Target: target, Argument: argument})
}

// pick returns the name of one of the processes or links NAME1 to NAMEn.
func (p *planner) pick(name string, count int) string {
	return fmt.Sprintf("%s%d", name, 1+p.random.IntN(count))
}

// duration returns a random duration of a fault, from minFault to maxFault.
func (p *planner) duration() time.Duration {
	return (minFault + time.Duration(p.random.Int64N(int64(maxFault-minFault)))).Round(time.Millisecond)
}

// kill kills a process and starts it again later.
func (p *planner) kill(at time.Duration, target string) {
	p.add(at, "kill", target, "")
	p.add(at+p.duration(), "start", target, "")
}

// freeze stops a process for a duration without ending it.
func (p *planner) freeze(at time.Duration, target string, d time.Duration) {
	p.add(at, "freeze", target, "")
	p.add(at+d, "thaw", target, "")
}

// platform sets a fault of the platform, and clears it later.
func (p *planner) platform(at time.Duration, fault string) {
	p.add(at, "platform", "platform", fault)
	p.add(at+p.duration(), "platform", "platform", "{}")
}

// stream makes the streams of an engine fail after a few chunks, and clears the fault later.
func (p *planner) stream(at time.Duration, fault string) {
	target := p.pick("engine", p.Engines)
	p.add(at, "engine", target, fmt.Sprintf(fault, 1+p.random.IntN(maxChunks)))
	p.add(at+p.duration(), "engine", target, "{}")
}

// cut cuts a link in a random mode, and restores it later.
func (p *planner) cut(at time.Duration, link string) {
	modes := []CutMode{CutBoth, CutForward, CutBack, CutStale, CutRefuse}
	p.add(at, "cut", link, string(modes[p.random.IntN(len(modes))]))
	p.add(at+p.duration(), "cut", link, string(CutNone))
}

// WritePlan writes a plan with one step in each line: the time in milliseconds, the action, the
// target and the argument.
func WritePlan(w io.Writer, steps []Step) error {
	for _, s := range steps {
		if _, err := fmt.Fprintf(w, "%d %s %s %s\n", s.At.Milliseconds(), s.Action, s.Target, s.Argument); err != nil {
			return errors.Wrap(err, "write plan")
		}
	}
	return nil
}
