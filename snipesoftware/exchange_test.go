package snipesoftware

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

var errDown = errors.New("down")

// group is a few instances that tell and ask each other.
type group struct {
	lock      sync.Mutex // guards down and told
	exchanges map[string]*Exchange
	down      map[string]bool
	told      int
}

// newGroup returns instances in domains of two each, which know the given row.
func newGroup(count int, row Row) *group {
	g := &group{exchanges: map[string]*Exchange{}, down: map[string]bool{}}
	var members []Member
	for n := range count {
		members = append(members, Member{fmt.Sprint("i", n), fmt.Sprint("d", n/2)})
	}
	for _, m := range members {
		releases := newReleases()
		releases.Apply(service, row, 1)
		releases.Confirm(time.Now())
		g.exchanges[m.ID] = &Exchange{
			Domain: m.Domain, Releases: releases,
			Members: func() []Member {
				return slices.DeleteFunc(slices.Clone(members), func(other Member) bool { return other.ID == m.ID })
			},
			Tell: func(_ context.Context, member string, origins []Origin) error {
				if !g.up(member) {
					return errDown
				}
				g.lock.Lock()
				g.told += len(origins)
				g.lock.Unlock()
				g.exchanges[member].Held.Put(origins...)
				return nil
			},
			Ask: func(ctx context.Context, member string, k Key) (Version, Answer, error) {
				if !g.up(member) {
					<-ctx.Done() // it hangs
					return "", Unknown, ctx.Err()
				}
				v, answer := g.exchanges[member].Get(k)
				return v, answer, nil
			},
		}
	}
	return g
}

func (g *group) up(member string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return !g.down[member]
}

// countTold returns the number of origins that were told.
func (g *group) countTold() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.told
}

func (g *group) lose(members ...string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, m := range members {
		g.down[m] = true
	}
}

func keyOf(attempt string) Key { return Stream{Attempt: attempt, Service: service}.Key() }

// holdersOf returns the instances that hold a stream's origin.
func (g *group) holdersOf(k Key) []string {
	var all []string
	for id, e := range g.exchanges {
		if _, answer := e.Get(k); answer == Known {
			all = append(all, id)
		}
	}
	return all
}

// TestOriginsSurvive guards against the loss of a stream's version with its instance and one of those that were told,
// or with a whole failure domain.
func TestOriginsSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(8, rowOf("v1", "v2"))
		for n := range 200 {
			g.exchanges["i0"].Begin(service, Origin{keyOf(fmt.Sprint(n)), "v2"})
		}
		time.Sleep(2 * batchTime)
		for n := range 200 {
			k := keyOf(fmt.Sprint(n))
			holders := g.holdersOf(k)
			must.Len(t, 1+copies, holders)
			domains := map[string]bool{}
			for _, id := range holders {
				domains[g.exchanges[id].Domain] = true
			}
			must.MapLen(t, 1+copies, domains)
		}
		g.lose("i0", "i1", "i5")
		for n := range 200 {
			v, err := g.exchanges["i7"].Find(t.Context(), service, keyOf(fmt.Sprint(n)))
			must.NoError(t, err)
			must.Eq(t, "v2", v)
		}
	})
}

// TestToldToOthers guards against origins that are lost because an instance that was to hold them does not answer.
func TestToldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(6, rowOf("v1", "v2"))
		g.lose("i2", "i3")
		for n := range 50 {
			g.exchanges["i0"].Begin(service, Origin{keyOf(fmt.Sprint(n)), "v1"})
		}
		time.Sleep(5 * batchTime)
		for n := range 50 {
			must.GreaterEq(t, 2, len(g.holdersOf(keyOf(fmt.Sprint(n)))))
		}
	})
}

// TestCalmTimes guards against messages for streams while there is one version, against streams that do not go on
// then, and against streams of that time that are lost when others begin to be told.
func TestCalmTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(4, rowOf("v1"))
		k, ended := keyOf("runs"), keyOf("ended")
		g.exchanges["i0"].Begin(service, Origin{k, "v1"})
		g.exchanges["i0"].Begin(service, Origin{ended, "v1"})
		g.exchanges["i0"].End(ended)
		g.exchanges["i0"].Step()
		time.Sleep(2 * batchTime)
		must.Eq(t, 0, g.countTold())
		v, err := g.exchanges["i1"].Find(t.Context(), service, k)
		must.NoError(t, err)
		must.Eq(t, "v1", v)

		g.exchanges["i0"].Releases.Apply(service, rowOf("v1", "v2"), 2)
		g.exchanges["i0"].Step()
		g.exchanges["i0"].Step()
		time.Sleep(2 * batchTime)
		must.Eq(t, 2*copies, g.countTold())
		time.Sleep(freshness)
		g.lose("i0")
		for _, lost := range []Key{k, ended} {
			_, err = g.exchanges["i1"].Find(t.Context(), service, lost)
			must.NoError(t, err)
		}
	})
}

// TestFind guards against a version that is guessed, and against an answer that keeps a caller waiting.
func TestFind(t *testing.T) {
	mine := Stream{Attempt: "a", Workspace: "w1", Route: "r", Service: service, Model: "m", Adapter: "x"}
	other := func(change func(s *Stream)) Key {
		s := mine
		change(&s)
		return s.Key()
	}
	tests := map[string]struct {
		key  Key
		lose []string
		want error
	}{
		"Mine":           {mine.Key(), nil, nil},
		"Nonsense":       {keyOf("nonsense"), nil, ErrUnknown},
		"OtherWorkspace": {other(func(s *Stream) { s.Workspace = "w2" }), nil, ErrRefused},
		"OtherRoute":     {other(func(s *Stream) { s.Route = "r2" }), nil, ErrRefused},
		"OtherAdapter":   {other(func(s *Stream) { s.Adapter = "y" }), nil, ErrRefused},
		"TwoVersions":    {keyOf("twice"), nil, ErrRefused},
		"AllLost":        {mine.Key(), []string{"i0", "i2", "i3", "i4", "i5"}, ErrUnanswered},
		"OneLost":        {keyOf("nonsense"), []string{"i0"}, ErrUnanswered},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(6, rowOf("v1", "v2"))
				time.Sleep(freshness)
				g.exchanges["i0"].Begin(service, Origin{mine.Key(), "v2"})
				g.exchanges["i0"].Begin(service, Origin{keyOf("twice"), "v1"})
				g.exchanges["i0"].Begin(service, Origin{keyOf("twice"), "v2"})
				time.Sleep(2 * batchTime)
				g.lose(tt.lose...)
				begun := time.Now()
				v, err := g.exchanges["i1"].Find(t.Context(), service, tt.key)
				must.LessEq(t, askTimeout, time.Since(begun))
				if tt.want != nil {
					must.ErrorIs(t, err, tt.want)
					return
				}
				must.NoError(t, err)
				must.Eq(t, "v2", v)
			})
		})
	}
}

// TestLongStream guards against a stream that runs for longer than origins are kept, and cannot be taken up then.
func TestLongStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(4, rowOf("v1", "v2"))
		k := keyOf("long")
		g.exchanges["i0"].Begin(service, Origin{k, "v2"})
		for range 10 {
			time.Sleep(originRetention / 3)
			g.exchanges["i0"].Step()
		}
		time.Sleep(2 * batchTime)
		g.lose("i0")
		v, err := g.exchanges["i1"].Find(t.Context(), service, k)
		must.NoError(t, err)
		must.Eq(t, "v2", v)
		time.Sleep(originRetention)
		_, err = g.exchanges["i1"].Find(t.Context(), service, k)
		must.ErrorIs(t, err, ErrUnanswered)
	})
}

// TestOriginsBounded guards against memory that grows with the streams, and against an origin that is kept beyond its
// time or dropped although it was renewed.
func TestOriginsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o Origins
		first, renewed := keyOf("first"), keyOf("renewed")
		o.Put(Origin{first, "v1"}, Origin{renewed, "v1"})
		time.Sleep(originRetention - time.Second)
		o.Put(Origin{renewed, "v1"})
		time.Sleep(time.Second)
		_, answer := o.Get(first)
		must.Eq(t, Unknown, answer)
		_, answer = o.Get(renewed)
		must.Eq(t, Known, answer)
		for n := range 2 * maxOrigins {
			o.Put(Origin{keyOf(fmt.Sprint(n)), "v1"})
		}
		must.Eq(t, maxOrigins, o.Len())
		_, answer = o.Get(renewed)
		must.Eq(t, Unknown, answer)
		must.MapLen(t, maxOrigins, o.attempts)
	})
}

// TestKeyFrom guards against bytes of other instances that are taken for a key.
func TestKeyFrom(t *testing.T) {
	k := keyOf("a")
	same, err := KeyFrom(k.Bytes())
	must.NoError(t, err)
	must.Eq(t, k, same)
	_, err = KeyFrom(k.Bytes()[1:])
	must.ErrorIs(t, err, ErrKey)
	must.NotEq(t, Stream{Workspace: "ab", Route: "c"}.Key(), Stream{Workspace: "a", Route: "bc"}.Key())
}
