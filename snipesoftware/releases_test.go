package snipesoftware

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// newReleases returns releases on the paused clock of a test.
func newReleases() *Releases {
	begun := time.Now()
	return &Releases{Clock: func() time.Duration { return time.Since(begun) }}
}

const service = "engines"

func rowOf(versions ...Version) Row {
	var r Row
	for n, v := range versions {
		r = append(r, Release{Version: v, Settled: n == 0})
	}
	return r
}

// TestSoleVersion guards against an instance that relies on a sole version when others may have begun streams at
// another one, and against a version that is used too early or never.
func TestSoleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleases()
		must.False(t, r.MayBegin(service, "v1"))
		must.True(t, r.TellsOrigins(service))
		r.Apply(service, rowOf("v1"), 1)
		_, sole := r.Sole(service)
		must.False(t, sole) // not confirmed
		r.Confirm(time.Now())
		v, sole := r.Sole(service)
		must.True(t, sole)
		must.Eq(t, "v1", v)
		must.True(t, r.MayBegin(service, "v1"))
		must.False(t, r.TellsOrigins(service))

		time.Sleep(time.Second)
		r.Apply(service, rowOf("v1", "v2"), 2)
		r.Confirm(time.Now())
		must.True(t, r.TellsOrigins(service))
		_, sole = r.Sole(service)
		must.True(t, sole) // no stream has begun at v2 yet
		time.Sleep(freshness - time.Second)
		_, sole = r.Sole(service)
		must.False(t, sole)
		must.False(t, r.MayBegin(service, "v2"))
		time.Sleep(useDelay)
		must.True(t, r.MayBegin(service, "v2"))
		must.True(t, r.MayBegin(service, "v1"))

		r.Apply(service, rowOf("v1"), 1) // an older row
		must.Eq(t, []Version{"v1", "v2"}, r.Announced(service))
	})
}

// TestUnconfirmed guards against reliance on rows that were confirmed too long ago, and against origins that are
// not told before that.
func TestUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleases()
		r.Apply(service, rowOf("v1"), 1)
		r.Confirm(time.Now().Add(-time.Second)) // the page was a second on its way
		time.Sleep(tellAge - time.Second)
		must.False(t, r.TellsOrigins(service))
		time.Sleep(time.Millisecond)
		must.True(t, r.TellsOrigins(service))
		_, sole := r.Sole(service)
		must.True(t, sole)
		time.Sleep(freshness - tellAge)
		_, sole = r.Sole(service)
		must.False(t, sole)
		must.True(t, r.MayBegin(service, "v1"))
	})
}

// TestDue guards against versions that are not announced, announced in a wrong order, never settled, or dropped
// while streams that began at them may be taken up.
func TestDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleases()
		at := uint64(0)
		step := func(complete bool, registered ...Version) []RowChange {
			due := r.Due(map[string][]Version{service: registered}, complete)
			for _, c := range due {
				must.Eq(t, at, c.Position)
				at++
				r.Apply(c.Service, c.Row, at)
			}
			return due
		}
		due := step(true, "v2", "v1")
		must.Eq(t, Row{{"v2", true}, {"v1", false}}, due[0].Row)
		must.SliceEmpty(t, step(true, "v2", "v1"))
		time.Sleep(useDelay)
		must.Eq(t, Row{{"v2", true}, {"v1", true}}, step(true, "v2")[0].Row)
		time.Sleep(releaseRetention - time.Second)
		must.SliceEmpty(t, step(true, "v2"))
		must.SliceEmpty(t, step(false, "v2")) // the registry was not read: the time begins anew
		time.Sleep(time.Second)
		must.SliceEmpty(t, step(true, "v2"))
		time.Sleep(releaseRetention)
		must.Eq(t, []Version{"v1"}, step(true, "v2")[0].Dropped)
		time.Sleep(2 * releaseRetention)
		must.SliceEmpty(t, step(true)) // nobody serves: the row stays
	})
}

// TestSettled guards against an instance that waits for a version which others use long since.
func TestSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleases()
		r.Apply(service, Row{{"v1", true}, {"v2", true}, {"v3", false}}, 7)
		must.True(t, r.MayBegin(service, "v2"))
		must.False(t, r.MayBegin(service, "v3"))
	})
}

// TestRow guards against rows of other writers that are taken for releases.
func TestRow(t *testing.T) {
	long := []byte("[")
	for range maxReleases + 1 {
		long = append(long, `{"Version":"x"},`...)
	}
	tests := map[string]struct {
		data string
		ok   bool
	}{
		"One":      {`[{"Version":"v1","Settled":true}]`, true},
		"Two":      {`[{"Version":"v1"},{"Version":"v2"}]`, true},
		"Empty":    {`[]`, false},
		"Twice":    {`[{"Version":"v1"},{"Version":"v1"}]`, false},
		"Instance": {`{"Peer":"10.0.0.1:1"}`, false},
		"Text":     {`"v1"`, false},
		"Null":     {`null`, false},
		"None":     {``, false},
		"TooMany":  {string(long[:len(long)-1]) + "]", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeRow([]byte(tt.data))
			must.Eq(t, tt.ok, err == nil, must.Sprint(err))
		})
	}
}

// TestRandomReleases guards against an instance that takes a stream up at a sole version while streams of its service
// have begun at another one: instances read and write the store at random times, their reads are delayed or
// fail for seconds, they start again, and versions appear and are gone.
func TestRandomReleases(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			p := &releasePlay{t: t, random: rand.New(rand.NewPCG(seed, 1)), registered: []Version{"v1"}, begun: map[Version]bool{}}
			for range 4 {
				p.readers = append(p.readers, &releaseReader{releases: newReleases()})
			}
			for step := range 600 {
				p.step(step)
			}
			must.MapNotEmpty(t, p.begun)
		})
	}
}

// releasePlay is a play of TestRandomReleases: a store with one row, and the instances that read it.
type releasePlay struct {
	t          *testing.T
	random     *rand.Rand
	row        Row
	position   uint64
	registered []Version
	readers    []*releaseReader
	begun      map[Version]bool
}

// releaseReader is an instance with the page that is on its way to it, if there is one.
type releaseReader struct {
	releases      *Releases
	row           Row
	position      uint64
	sent, arrives time.Time
	cutUntil      time.Time
}

func (p *releasePlay) step(step int) {
	time.Sleep(p.milliseconds(120))
	switch {
	case step%150 == 60:
		p.registered = append(p.registered, Version("v"+string(rune('2'+step/150))))
	case step%150 == 140 && len(p.registered) > 1:
		p.registered = p.registered[1:]
	}
	i := p.readers[p.random.IntN(len(p.readers))]
	p.act(i)
	for _, v := range p.registered {
		if i.releases.MayBegin(service, v) {
			p.begun[v] = true
		}
	}
	for _, other := range p.readers {
		sole, ok := other.releases.Sole(service)
		for v := range p.begun {
			must.True(p.t, !ok || v == sole, must.Sprint("relies on ", sole, " though streams began at ", v))
		}
	}
}

func (p *releasePlay) milliseconds(most int) time.Duration {
	return time.Duration(p.random.IntN(most)) * time.Millisecond
}

// act has an instance be cut off, start again, begin a read, or receive a page and write what is due.
func (p *releasePlay) act(i *releaseReader) {
	now := time.Now()
	switch x := p.random.IntN(40); {
	case x == 0:
		i.cutUntil = now.Add(p.milliseconds(8000))
	case x == 1:
		i.releases, i.sent = newReleases(), time.Time{}
	case now.Before(i.cutUntil):
	case i.sent.IsZero():
		i.row, i.position, i.sent, i.arrives = p.row, p.position, now, now.Add(p.milliseconds(900))
	case now.After(i.arrives):
		if i.position > 0 {
			i.releases.Apply(service, i.row, i.position)
			i.releases.Confirm(i.sent)
		}
		i.sent = time.Time{}
		p.write(i)
	}
}

// write has an instance write what is due. Some writes fail, and the answers to some are lost.
func (p *releasePlay) write(i *releaseReader) {
	for _, c := range i.releases.Due(map[string][]Version{service: p.registered}, true) {
		if c.Position != p.position || p.random.IntN(3) == 0 {
			continue
		}
		p.row, p.position = c.Row, p.position+1
		if p.random.IntN(3) > 0 {
			i.releases.Apply(service, c.Row, p.position)
		}
	}
}

// TestUnreadableRow guards against a row that another writer has spoiled: versions that are forgotten, one that counts as the
// sole one although others may have been announced, and a row that stays spoiled.
func TestUnreadableRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, started := newReleases(), newReleases()
		known.Apply(service, rowOf("v1"), 1)
		time.Sleep(useDelay)
		registered := map[string][]Version{service: {"v1"}}
		for _, r := range []*Releases{known, started} {
			r.ApplyUnreadable(service, 2)
			r.Confirm(time.Now())
		}
		must.True(t, known.MayBegin(service, "v1"))
		must.False(t, started.MayBegin(service, "v1"))
		due := known.Due(registered, true)
		must.Len(t, 1, due)
		must.Eq(t, uint64(2), due[0].Position)
		must.Len(t, 1, started.Due(registered, true))
		for _, r := range []*Releases{known, started} {
			r.Apply(service, due[0].Row, 3)
			r.Confirm(time.Now())
			must.SliceEmpty(t, r.Due(registered, true))
			must.True(t, r.MayBegin(service, "v1"))
			v, sole := r.Sole(service)
			must.False(t, sole && r == started, must.Sprint(v))
		}
		time.Sleep(freshness)
		known.Confirm(time.Now())
		_, sole := known.Sole(service)
		must.False(t, sole)
		time.Sleep(releaseRetention)
		due = known.Due(registered, true)
		must.Len(t, 1, due)
		must.Eq(t, rowOf("v1")[0].Version, due[0].Row[0].Version)
		must.Len(t, 1, due[0].Row)
	})
}
