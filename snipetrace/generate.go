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

// ErrBadShape is returned for a shape from which no trace can be generated.
var ErrBadShape = errors.New("bad trace shape")

// Popularity is the way in which the popularity of the adapters changes over a trace.
type Popularity string

// Values of Popularity. With each of them a few adapters receive most of the calls.
const (
	// Steady never changes the ranking of the adapters.
	Steady Popularity = "steady"
	// Shift replaces the ranking by a random one at half of the length.
	Shift Popularity = "shift"
	// Drift swaps the ranks of random pairs of adapters, evenly over the length. The number of
	// swaps is driftShare times the number of adapters.
	Drift Popularity = "drift"
	// Storm makes the first team send stormFactor times its usual calls in the middle third of the
	// length. All additional calls have the same class.
	Storm Popularity = "storm"
)

// Shape holds the parameters of a generated trace.
type Shape struct {
	// Seed is the seed of the random source.
	Seed uint64
	// Calls is the number of calls, evenly over Length. Crashing calls and the additional calls of
	// a storm are not included.
	Calls  int
	Length time.Duration
	// Popularity is the way in which popularity changes. Empty means Steady.
	Popularity Popularity
	// Teams are the teams of the callers. Each has as many adapters as Adapters states, named
	// adapter-N, with version 1 at the path TEAM/adapter-N/1.
	Teams    []string
	Adapters int
	// Service is a plain service that receives serviceShare of the calls. Empty means none.
	Service string
	// Crashes is the number of additional calls, evenly over Length, that crash engines. The trace
	// has fewer if Crashes is not below Calls, since at most one follows each other call.
	Crashes int
	// Timeout is the time from the start of each call to its deadline.
	Timeout time.Duration
}

const (
	zipfExponent    = 1.2
	serviceShare    = 0.15
	unknownShare    = 0.02
	streamShare     = 0.6
	keylessShare    = 0.2 // of the calls to services
	idempotentShare = 0.2 // of the calls to services
	shortestAnswer  = 4
	longestAnswer   = 48
	driftShare      = 0.35
	stormFactor     = 5
	maxCalls        = 1 << 20
)

// check returns an error that wraps ErrBadShape and states the reason if no trace can be generated
// from s.
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

// generator is the state of the generation of one trace.
type generator struct {
	Shape
	random *rand.Rand
	zipf   *rand.Zipf
	// ranks holds the number of the adapter at each rank, from the most to the least popular.
	ranks []int
	// swaps is the number of swaps that Drift has made, and count the number of generated records.
	swaps int
	count int
}

// Generate returns a trace in the order of time. The popularity of the adapters has a Zipf-like
// distribution.
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
		g.updateRanks(n)
		all = append(all, g.randomCall(at, s.Teams[r.IntN(len(s.Teams))]))
		if (n+1)*(s.Crashes+1)/s.Calls != n*(s.Crashes+1)/s.Calls && n+1 < s.Calls {
			all = append(all, g.crashingCall(at))
		}
		if s.Popularity == Storm && n >= s.Calls/3 && n < 2*s.Calls/3 {
			all = append(all, g.stormCalls(n, at)...)
		}
	}
	return all, nil
}

// updateRanks changes the ranking of the adapters, if it is due, before call n.
func (g *generator) updateRanks(n int) {
	swap := func(i, j int) { g.ranks[i], g.ranks[j] = g.ranks[j], g.ranks[i] }
	switch g.Popularity {
	case Shift:
		if n == g.Calls/2 {
			g.random.Shuffle(len(g.ranks), swap)
		}
	case Drift:
		due := int(driftShare * float64(g.Adapters) * float64(n) / float64(g.Calls))
		for ; g.swaps < due; g.swaps++ {
			swap(g.random.IntN(g.Adapters), g.random.IntN(g.Adapters))
		}
	}
}

// stormCalls returns the calls that a storm adds after call n.
func (g *generator) stormCalls(n int, at time.Duration) []Record {
	extra := make([]Record, 0, stormFactor)
	extraBefore := func(n int) int { return n * (stormFactor - 1) / len(g.Teams) }
	for range extraBefore(n+1) - extraBefore(n) {
		c := g.randomCall(at, g.Teams[0])
		c.Class = snipecall.Standard
		extra = append(extra, c)
	}
	return extra
}

// crashingCall returns a call whose prompt crashes the engine that runs it.
func (g *generator) crashingCall(at time.Duration) Record {
	team, adapter := g.Teams[0], g.ranks[0]
	g.count++
	return Record{
		At: snipejson.Duration(at), Team: team, Class: snipecall.Standard, Crashes: true,
		Model: fmt.Sprintf("adapter-%d@1", adapter), Path: fmt.Sprintf("%s/adapter-%d/1", team, adapter),
		Prompt:  fmt.Sprintf("call %d of seed %d %s", g.count, g.Seed, snipestand.CrashPrompt),
		Timeout: snipejson.Duration(g.Timeout), MaxTokens: shortestAnswer,
	}
}

// randomCall returns a call of a team to the service, to an adapter that does not exist, or to an
// adapter chosen by popularity.
func (g *generator) randomCall(at time.Duration, team string) Record {
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
		g.makeServiceCall(&c)
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

// makeServiceCall turns c into a call to the service, with no key, idempotent, or with a unique
// key.
func (g *generator) makeServiceCall(c *Record) {
	c.Service = g.Service
	switch p := g.random.Float64(); {
	case p < keylessShare:
	case p < keylessShare+idempotentShare:
		c.Idempotent = true
	default:
		c.Key = fmt.Sprintf("key-%d-%d", g.Seed, g.count)
	}
}
