package snipeentry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipequarantine"
)

// TestPartTable guards against tables of parts that cannot be true.
func TestPartTable(t *testing.T) {
	keys := func(n int) []byte { return make([]byte, n*16) }
	tests := map[string]struct {
		table *snipeproto.PartTable
		valid bool
	}{
		"None":         {nil, true},
		"Two":          {&snipeproto.PartTable{Fingerprints: keys(2), Rounds: []uint64{0, 3}, Known: []byte{2}}, true},
		"Torn":         {&snipeproto.PartTable{Fingerprints: keys(2)[:31], Known: []byte{0}}, false},
		"TooMany":      {&snipeproto.PartTable{Fingerprints: keys(maxPartTable + 1), Known: make([]byte, maxPartTable/8+1)}, false},
		"FewRounds":    {&snipeproto.PartTable{Fingerprints: keys(2), Rounds: []uint64{1}, Known: []byte{0}}, false},
		"HighRound":    {&snipeproto.PartTable{Fingerprints: keys(1), Rounds: []uint64{1 << 60}, Known: []byte{0}}, false},
		"KnownMissing": {&snipeproto.PartTable{Fingerprints: keys(9), Known: []byte{0}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			parts, err := decodePartTable(tt.table)
			if !tt.valid {
				must.ErrorIs(t, err, snipequarantine.ErrSuspect)
				return
			}
			must.NoError(t, err)
			must.Len(t, len(tt.table.GetFingerprints())/16, parts)
		})
	}
}

// TestPartCrashMessages guards against parts that are lost or changed on the way, against a message whose parts take
// more memory than an instance sends, and against messages that grow with each request whose prompt shares its parts.
func TestPartCrashMessages(t *testing.T) {
	const requests, shared = 30, 1000
	var all []snipequarantine.PartCrash
	for n := range requests {
		c := snipequarantine.PartCrash{Upstream: "e1", Text: snipequarantine.NewFingerprint(nil, fmt.Sprint(n))}
		for k := range shared {
			c.Parts = append(c.Parts, snipequarantine.PartMark{Key: snipequarantine.PartKey(fmt.Sprint(k)), Round: uint64(k % 3), Known: k%5 == 0})
		}
		own := snipequarantine.PartMark{Key: snipequarantine.PartKey(fmt.Sprint("own", n))}
		c.Parts = slices.Insert(c.Parts, n*shared/requests, own)
		all = append(all, c)
	}
	i := &Instance{meter: snipemeter.New()}
	m := encodeCrashReport(snipequarantine.Report{PartCrashes: all})
	must.Eq(t, all, i.decodeCrashReport(m).PartCrashes)
	must.Less(t, 25_000, proto.Size(m))

	many := slices.Repeat(m.GetPartCrashes(), 2)
	must.LessEq(t, maxPartTable, countParts(i.decodeCrashReport(&snipeproto.CrashReportRequest{PartCrashes: many, PartTable: m.GetPartTable()})))
}

func countParts(r snipequarantine.Report) (n int) {
	for _, c := range r.PartCrashes {
		n += len(c.Parts)
	}
	return n
}
