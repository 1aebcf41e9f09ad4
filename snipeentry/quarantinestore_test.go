package snipeentry

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipequarantine"
)

// rowTable is a table of the store that can be down.
type rowTable struct {
	rows    map[string]snipemirror.Row
	down    bool
	version uint64
}

func (r *rowTable) read(context.Context) (snipemirror.Page, error) {
	if r.down {
		return snipemirror.Page{}, snipeplatform.ErrUnavailable
	}
	return snipemirror.Page{Rows: slices.Collect(maps.Values(r.rows)), Complete: true}, nil
}

func (r *rowTable) write(_ context.Context, _ string, changes []snipeplatform.Change) (uint64, error) {
	if r.down {
		return 0, snipeplatform.ErrUnavailable
	}
	for _, c := range changes {
		if r.rows[c.Sort].Version != c.Expect {
			return 0, snipeplatform.ErrConflict
		}
		r.version++
		if c.Delete {
			delete(r.rows, c.Sort)
			continue
		}
		r.rows[c.Sort] = snipemirror.Row{Key: c.Sort, Value: c.Data, Version: r.version}
	}
	return r.version, nil
}

// TestQuarantineStore guards against refusals that are lost when the store is away for a time, against
// rows that stay for good, and against rows that cannot be decoded.
func TestQuarantineStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := snipequarantine.Fingerprint{1}
		table := &rowTable{rows: map[string]snipemirror.Row{}}
		wrong := 0
		start := func() (*quarantineStore, *[]snipequarantine.Suspect) {
			var restored []snipequarantine.Suspect
			return &quarantineStore{
				Read: table.read, Write: table.write, Operation: func() string { return "" },
				Restore: func(s snipequarantine.Suspect) { restored = append(restored, s) }, Wrong: func() { wrong++ },
			}, &restored
		}
		run := func(q *quarantineStore, d time.Duration) {
			for begun := time.Now(); time.Since(begun) < d; time.Sleep(reportInterval) {
				q.step(t.Context())
				synctest.Wait()
			}
		}
		table.down = true
		q, _ := start()
		q.Put(snipequarantine.Suspect{Fingerprint: f, Part: true, Refused: true, Left: time.Hour, Upstreams: []string{"e1"}})
		run(q, 5*time.Second)
		must.MapEmpty(t, table.rows)
		table.down = false
		run(q, 4*quarantineRetry)
		must.MapLen(t, 1, table.rows)

		table.rows["nonsense"] = snipemirror.Row{Key: "nonsense", Version: 9}
		later, restored := start()
		run(later, quarantineRetry)
		must.Len(t, 1, *restored)
		must.Eq(t, f, (*restored)[0].Fingerprint)
		must.True(t, (*restored)[0].Part, must.Sprint("otherwise it would be taken for that of a request"))
		must.Between(t, 59*time.Minute, (*restored)[0].Left, time.Hour)
		must.Positive(t, wrong)

		time.Sleep(time.Hour)
		last, restored := start()
		run(last, 3*quarantineRetry)
		must.SliceEmpty(t, *restored)
		must.MapNotContainsKey(t, table.rows, f.String())
	})
}

// TestCrashMessages guards against messages of other instances that cannot be true: they are ignored
// and counted, and the rest of the message counts.
func TestCrashMessages(t *testing.T) {
	good, short, long := make([]byte, 16), make([]byte, 3), string(make([]byte, 300))
	i := &Instance{meter: snipemeter.New()}
	report := i.decodeCrashReport(&snipeproto.CrashReportRequest{
		Crashes: []*snipeproto.UpstreamCrash{
			{Fingerprint: good, Upstream: "e1"},
			nil,
			{Fingerprint: short, Upstream: "e1"},
			{Fingerprint: good},
			{Fingerprint: good, Upstream: long},
			{Fingerprint: good, Upstream: "e1", Round: 1 << 60},
		},
		Answers: []*snipeproto.CrashAnswer{{Fingerprint: good}, nil, {Fingerprint: short}, {Fingerprint: good, Round: 1 << 60}},
	})
	must.Len(t, 1, report.Crashes)
	must.Len(t, 1, report.Answers)
	parts := i.decodeCrashReport(&snipeproto.CrashReportRequest{
		PartCrashes: []*snipeproto.PartCrash{
			{Upstream: "e1", Text: good, Runs: []uint32{0, 1}},
			nil,
			{Text: good},
			{Upstream: "e1", Text: short},
			{Upstream: "e1", Text: good, Runs: []uint32{0, 1, 0}},
			{Upstream: "e1", Text: good, Runs: []uint32{0, 3}},
			{Upstream: "e1", Text: good, Runs: []uint32{1 << 31, 1 << 31}},
			{Upstream: "e1", Text: good, Runs: slices.Repeat([]uint32{0, 1}, snipequarantine.MaxParts+1)},
		},
		PartTable:   &snipeproto.PartTable{Fingerprints: append(good, good...), Known: []byte{1}},
		PartAnswers: []*snipeproto.CrashAnswer{{Fingerprint: good}, {Fingerprint: short}},
		PartsKnown:  []*snipeproto.CrashAnswer{{Fingerprint: good}, nil},
	})
	must.Len(t, 1, parts.PartCrashes)
	must.Len(t, 1, parts.PartCrashes[0].Parts)
	must.Len(t, 1, parts.PartAnswers)
	must.Len(t, 1, parts.PartsKnown)
	suspects := i.decodeSuspects([]*snipeproto.CrashSuspect{
		{Fingerprint: good, Refused: true, LeftMilliseconds: 1000},
		nil,
		{Fingerprint: short, LeftMilliseconds: 1000},
		{Fingerprint: good, LeftMilliseconds: 1 << 40},
		{Fingerprint: good, LeftMilliseconds: 1 << 62},
		{Fingerprint: good, Upstreams: make([]string, 9)},
		{Fingerprint: good, Upstreams: []string{long}},
	})
	must.Len(t, 1, suspects)
}
