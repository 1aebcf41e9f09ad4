package snipetrace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipestand"
)

// ErrBadShape is returned for a shape that cannot be generated.
var ErrBadShape = errors.New("bad trace shape")

// Popularity says how the adapters' popularity behaves over a trace.
type Popularity string

// The popularities. In all of them a few adapters are hot and most are cold.
const (
	// Steady keeps the order of popularity.
	Steady Popularity = "steady"
	// Shift replaces the order by another one at half of the length.
	Shift Popularity = "shift"
	// Drift moves driftShare of the adapters to other ranks, evenly over the
	// length.
	Drift Popularity = "drift"
	// Storm makes the first team send stormFactor times its calls in the
	// middle third, all of one class.
	Storm Popularity = "storm"
)

// Shape says what trace to generate.
type Shape struct {
	// Seed makes the trace.
	Seed uint64
	// Calls is how many calls, over Length. A storm comes on top.
	Calls  int
	Length time.Duration
	// Popularity is how popularity behaves; Steady when empty.
	Popularity Popularity
	// Teams are the callers' teams; each has Adapters adapters named
	// adapter-N with the version 1 at the path TEAM/adapter-N/1.
	Teams    []string
	Adapters int
	// Service is a plain service that a part of the calls go to.
	Service string
	// Crashes is how many calls, evenly over Length, crash engines.
	Crashes int
	// Timeout is the deadline of each call.
	Timeout time.Duration
}

const (
	zipfExponent   = 1.2
	serviceShare   = 0.15
	unknownShare   = 0.02
	streamShare    = 0.6
	keylessShare   = 0.2 // of the calls to services
	repeatShare    = 0.2 // of the calls to services
	shortestAnswer = 4
	longestAnswer  = 48
	driftShare     = 0.35
	stormFactor    = 5
	maxCalls       = 1 << 20
)

// check returns ErrBadShape and the reason unless s can be generated.
func (s Shape) check() error {
	switch {
	case len(s.Teams) == 0 || slices.Contains(s.Teams, ""):
		return errors.Wrap(ErrBadShape, "needs names of teams")
	case s.Adapters < 1 || s.Calls < 1 || s.Calls > maxCalls:
		return errors.Wrapf(ErrBadShape, "needs an adapter and 1 to %d calls", maxCalls)
	case s.Length <= 0 || s.Timeout <= 0:
		return errors.Wrap(ErrBadShape, "length and timeout must be above 0")
	}
	switch s.Popularity {
	case "", Steady, Shift, Drift, Storm:
		return nil
	}
	return errors.Wrapf(ErrBadShape, "popularity %q", s.Popularity)
}

// generator is the state of one generation.
type generator struct {
	Shape
	random *rand.Rand
	zipf   *rand.Zipf
	// ranks has the adapter at each rank of popularity.
	ranks   []int
	drifted int
	count   int
}

// Generate makes a trace with Zipf-like popularity, in the order of time.
func Generate(s Shape) ([]Record, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	// The seed makes the trace repeatable; nothing here is secret.
	r := rand.New(rand.NewPCG(s.Seed, s.Seed)) //nolint:gosec // see above
	g := &generator{Shape: s, random: r, zipf: rand.NewZipf(r, zipfExponent, 1, uint64(s.Adapters-1))}
	for n := range s.Adapters {
		g.ranks = append(g.ranks, n)
	}
	all := make([]Record, 0, s.Calls)
	for n := range s.Calls {
		at := time.Duration(float64(s.Length) * float64(n) / float64(s.Calls))
		g.move(n)
		all = append(all, g.record(at, s.Teams[r.IntN(len(s.Teams))]))
		if (n+1)*(s.Crashes+1)/s.Calls != n*(s.Crashes+1)/s.Calls && n+1 < s.Calls {
			all = append(all, g.crash(at))
		}
		if s.Popularity == Storm && n >= s.Calls/3 && n < 2*s.Calls/3 {
			all = append(all, g.storm(n, at)...)
		}
	}
	return all, nil
}

// move changes the order of popularity before call n.
func (g *generator) move(n int) {
	swap := func(i, j int) { g.ranks[i], g.ranks[j] = g.ranks[j], g.ranks[i] }
	switch g.Popularity {
	case Shift:
		if n == g.Calls/2 {
			g.random.Shuffle(len(g.ranks), swap)
		}
	case Drift:
		due := int(driftShare * float64(g.Adapters) * float64(n) / float64(g.Calls))
		for ; g.drifted < due; g.drifted++ {
			swap(g.random.IntN(g.Adapters), g.random.IntN(g.Adapters))
		}
	}
}

// storm returns the calls that a storm adds after call n.
func (g *generator) storm(n int, at time.Duration) []Record {
	extra := make([]Record, 0, stormFactor)
	until := func(n int) int { return n * (stormFactor - 1) / len(g.Teams) }
	for range until(n+1) - until(n) {
		c := g.record(at, g.Teams[0])
		c.Class = snipecall.Standard
		extra = append(extra, c)
	}
	return extra
}

// crash returns a call that crashes engines.
func (g *generator) crash(at time.Duration) Record {
	team, adapter := g.Teams[0], g.ranks[0]
	g.count++
	return Record{
		At: snipejson.Duration(at), Team: team, Class: snipecall.Standard, Crashes: true,
		Model: fmt.Sprintf("adapter-%d@1", adapter), Path: fmt.Sprintf("%s/adapter-%d/1", team, adapter),
		Prompt:  fmt.Sprintf("call %d of seed %d %s", g.count, g.Seed, snipestand.CrashPrompt),
		Timeout: snipejson.Duration(g.Timeout), MaxTokens: shortestAnswer,
	}
}

func (g *generator) record(at time.Duration, team string) Record {
	r := g.random
	c := Record{
		At: snipejson.Duration(at), Team: team,
		Class:   snipecall.Class(r.IntN(int(snipecall.Classes))), //nolint:gosec // below Classes
		Prompt:  fmt.Sprintf("call %d of seed %d", g.count, g.Seed),
		Timeout: snipejson.Duration(g.Timeout),
	}
	g.count++
	adapter := g.ranks[g.zipf.Uint64()]
	switch p := r.Float64(); {
	case p < serviceShare && g.Service != "":
		g.serviceCall(&c)
	case p < serviceShare+unknownShare:
		c.Model, c.Code = "no-such-adapter@1", "UnknownAdapter"
	default:
		c.Model = fmt.Sprintf("adapter-%d@1", adapter)
		c.Path = fmt.Sprintf("%s/adapter-%d/1", c.Team, adapter)
		c.MaxTokens = shortestAnswer + r.IntN(longestAnswer-shortestAnswer)
		c.Stream = r.Float64() < streamShare
	}
	return c
}

func (g *generator) serviceCall(c *Record) {
	c.Service = g.Service
	switch p := g.random.Float64(); {
	case p < keylessShare:
	case p < keylessShare+repeatShare:
		c.Idempotent = true
	default:
		c.Key = fmt.Sprintf("key-%d-%d", g.Seed, g.count)
	}
}
