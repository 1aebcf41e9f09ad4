package sniperetry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

// script executes attempts: each fails with the next failure of a list, and the
// attempts after the end of the list succeed.
type script struct {
	failures  []error
	chunk     bool     // whether a chunk is sent before each failure
	tried     []string // the upstreams of the attempts so far
	upstreams []string // the upstreams to choose from, in order
}

func (s *script) choose(_ *snipecall.Call, failed []string) (string, error) {
	for _, u := range s.upstreams {
		if !slices.Contains(failed, u) {
			return u, nil
		}
	}
	return "", snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "all excluded")
}

func (s *script) execute(_ context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	n := len(s.tried)
	s.tried = append(s.tried, c.Upstream)
	if n >= len(s.failures) {
		return sink(snipecall.Chunk{Sequence: 1, Last: true})
	}
	if s.chunk {
		_ = sink(snipecall.Chunk{Sequence: 1})
	}
	return s.failures[n]
}

func failure(kind error, outcome snipeerror.Outcome) error {
	return snipeerror.New(kind, outcome, "test")
}

// TestServe guards against a retry that is unsafe, has no use or exceeds the
// budget, and against a wrong final failure. Each row states the failures of the
// attempts, the upstreams tried and the result.
func TestServe(t *testing.T) {
	refused := failure(snipeerror.ErrOverloaded, snipeerror.NotRun)
	broken := failure(snipeerror.ErrIncomplete, snipeerror.MayHaveRun)
	tests := map[string]struct {
		failures   []error
		chunk      bool
		idempotent bool
		left       time.Duration
		budget     *Budget
		tried      []string
		want       error
		retryAfter bool
	}{
		"answered": {tried: []string{"a"}},
		"not run is started elsewhere": {
			failures: []error{refused}, tried: []string{"a", "b"},
		},
		"may have run is not started again": {
			failures: []error{broken}, tried: []string{"a"}, want: snipeerror.ErrIncomplete,
		},
		"may have run but idempotent": {
			failures: []error{broken}, idempotent: true, tried: []string{"a", "b"},
		},
		"a chunk has gone out": {
			failures: []error{broken}, chunk: true, idempotent: true, tried: []string{"a"}, want: snipeerror.ErrIncomplete,
		},
		"all excluded gives the attempt's own failure": {
			failures: []error{refused, refused, refused}, tried: []string{"a", "b", "c"},
			want: snipeerror.ErrOverloaded, retryAfter: true,
		},
		"quarantined is final": {
			failures:   []error{failure(snipeerror.ErrQuarantined, snipeerror.NotRun)},
			idempotent: true, tried: []string{"a"}, want: snipeerror.ErrQuarantined,
		},
		"limit is final": {
			failures: []error{failure(snipeerror.ErrLimited, snipeerror.NotRun)},
			tried:    []string{"a"}, want: snipeerror.ErrLimited,
		},
		"unknown error may have run": {
			failures: []error{errors.New("odd")}, tried: []string{"a"}, want: snipeerror.ErrUpstreamFailed,
		},
		"no budget": {
			failures: []error{refused}, budget: &Budget{}, tried: []string{"a"},
			want: snipeerror.ErrOverloaded, retryAfter: true,
		},
		"no time for the pause": {
			failures: []error{refused}, left: time.Nanosecond, tried: []string{"a"},
			want: snipeerror.ErrOverloaded, retryAfter: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{failures: test.failures, chunk: test.chunk, upstreams: []string{"a", "b", "c"}}
				a := &Retrier{Choose: s.choose, Execute: s.execute, Budget: test.budget, Log: snipelog.Discard()}
				left := test.left
				if left == 0 {
					left = time.Minute
				}
				c := &snipecall.Call{ID: "call", Team: "t", Idempotent: test.idempotent, Deadline: time.Now().Add(left)}
				start := time.Now()
				err := a.Serve(t.Context(), c, func(snipecall.Chunk) error { return nil })
				must.ErrorIs(t, err, test.want)
				must.Eq(t, test.tried, s.tried)
				must.Less(t, time.Second, time.Since(start), must.Sprint("the final answer was delayed"))
				if test.want != nil {
					must.Eq(t, test.retryAfter, snipeerror.From(err).RetryAfter > 0)
				}
			})
		})
	}
}

// TestServeLeavesSharedFailure guards against a retry delay written into the failure
// of an attempt, which may be shared with other calls.
func TestServeLeavesSharedFailure(t *testing.T) {
	shared := snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "test")
	s := &script{failures: []error{shared}, upstreams: []string{"a"}}
	a := &Retrier{Choose: s.choose, Execute: s.execute, Log: snipelog.Discard()}
	c := &snipecall.Call{ID: "call", Deadline: time.Now().Add(time.Minute)}
	must.Error(t, a.Serve(t.Context(), c, nil))
	must.Zero(t, shared.RetryAfter)
}

// TestServeKeepsMayHaveRun guards against a call that fails as NotRun because its
// second attempt was refused, although its first attempt may have run.
func TestServeKeepsMayHaveRun(t *testing.T) {
	for name, second := range map[string]error{
		"final":    failure(snipeerror.ErrQuarantined, snipeerror.NotRun),
		"given up": failure(snipeerror.ErrOverloaded, snipeerror.NotRun),
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{upstreams: []string{"a", "b"}}
			s.failures = []error{failure(snipeerror.ErrIncomplete, snipeerror.MayHaveRun), second}
			a := &Retrier{Choose: s.choose, Execute: s.execute, Log: snipelog.Discard()}
			c := &snipecall.Call{ID: "call", Idempotent: true, Deadline: time.Now().Add(time.Minute)}
			err := a.Serve(t.Context(), c, nil)
			must.ErrorIs(t, err, snipeerror.From(second).Kind)
			must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
		})
	}
}

// TestServeExcludesRedirected guards against retries at the wrong upstream: if Execute
// redirects an attempt, the upstream that it was redirected to is excluded.
func TestServeExcludesRedirected(t *testing.T) {
	var chosen [][]string
	a := &Retrier{
		Choose: func(_ *snipecall.Call, failed []string) (string, error) {
			chosen = append(chosen, failed)
			return "a", nil
		},
		Execute: func(_ context.Context, c *snipecall.Call, _ snipecall.Sink) error {
			c.Upstream = "b"
			return failure(snipeerror.ErrBadRequest, snipeerror.NotRun)
		},
		Log: snipelog.Discard(),
	}
	c := &snipecall.Call{ID: "call", Deadline: time.Now().Add(time.Minute)}
	must.ErrorIs(t, a.Serve(t.Context(), c, nil), snipeerror.ErrBadRequest)
	a.Execute = func(_ context.Context, c *snipecall.Call, _ snipecall.Sink) error {
		c.Upstream = "b"
		return failure(snipeerror.ErrOverloaded, snipeerror.NotRun)
	}
	must.Error(t, a.Serve(t.Context(), c, nil))
	must.Eq(t, []string{"b"}, chosen[2])
}

// TestBudgetTeams guards against a team that uses up the retries of another one,
// against a wrong refill, and against buckets kept for teams that have spent nothing.
func TestBudgetTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Share: 0.5, Burst: 5, TeamBurst: 2, RefillPerSecond: 0.1}
		must.True(t, b.Spend("a"))
		must.True(t, b.Spend("a"))
		must.False(t, b.Spend("a"), must.Sprint("above the team's burst"))
		must.True(t, b.Spend("b"), must.Sprint("one team used up the retries of another"))
		b.Earn("a")
		must.False(t, b.Spend("a"), must.Sprint("one answer earns half a retry"))
		b.Earn("a")
		must.True(t, b.Spend("a"))
		time.Sleep(time.Hour)
		b.Earn("a")
		b.Earn("b")
		must.MapEmpty(t, b.teams, must.Sprint("teams with nothing spent are kept"))
	})
}
