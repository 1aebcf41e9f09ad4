package snipeentry

import (
	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipequarantine"
)

// maxPartTable bounds the parts that a message of another instance lists.
const maxPartTable = snipequarantine.MaxReportParts + snipequarantine.MaxParts

// partTable is the list of parts that a message refers to.
type partTable struct {
	positions map[snipequarantine.PartMark]uint32
	message   *snipeproto.PartTable
}

// position returns the position of a part in the table, which it adds if it is new.
func (t *partTable) position(m snipequarantine.PartMark) uint32 {
	if at, ok := t.positions[m]; ok {
		return at
	}
	at := uint32(len(t.positions)) //nolint:gosec // far fewer
	t.positions[m] = at
	p := t.message
	p.Fingerprints = append(p.Fingerprints, m.Key[:]...)
	p.Rounds = append(p.Rounds, m.Round)
	if at%8 == 0 {
		p.Known = append(p.Known, 0)
	}
	if m.Known {
		p.Known[at/8] |= 1 << (at % 8)
	}
	return at
}

// runs returns the positions of parts as runs of neighbours.
func (t *partTable) runs(parts []snipequarantine.PartMark) []uint32 {
	var runs []uint32
	for _, m := range parts {
		at := t.position(m)
		if n := len(runs); n > 0 && runs[n-2]+runs[n-1] == at {
			runs[n-1]++
			continue
		}
		runs = append(runs, at, 1)
	}
	return runs
}

// encodePartCrashes returns the messages for crashes of parts, and the table of the parts that they refer to.
func encodePartCrashes(all []snipequarantine.PartCrash) ([]*snipeproto.PartCrash, *snipeproto.PartTable) {
	if len(all) == 0 {
		return nil, nil
	}
	t := &partTable{positions: make(map[snipequarantine.PartMark]uint32), message: &snipeproto.PartTable{}}
	encoded := make([]*snipeproto.PartCrash, 0, len(all))
	for _, c := range all {
		encoded = append(encoded, &snipeproto.PartCrash{Upstream: c.Upstream, Text: c.Text[:], Runs: t.runs(c.Parts)})
	}
	if !hasRound(t.message.GetRounds()) {
		t.message.Rounds = nil
	}
	return encoded, t.message
}

func hasRound(rounds []uint64) bool {
	for _, r := range rounds {
		if r > 0 {
			return true
		}
	}
	return false
}

// decodePartTable returns the parts of a table. Its errors wrap snipequarantine.ErrSuspect.
func decodePartTable(m *snipeproto.PartTable) ([]snipequarantine.PartMark, error) {
	const size = len(snipequarantine.Fingerprint{})
	data := m.GetFingerprints()
	count := len(data) / size
	rounds, known := m.GetRounds(), m.GetKnown()
	switch {
	case len(data)%size != 0, count > maxPartTable:
		return nil, errors.Wrapf(snipequarantine.ErrSuspect, "table of parts of %d bytes", len(data))
	case len(rounds) != 0 && len(rounds) != count, len(known) != (count+7)/8:
		return nil, errors.Wrap(snipequarantine.ErrSuspect, "table of parts is incomplete")
	}
	parts := make([]snipequarantine.PartMark, count)
	for n := range parts {
		parts[n].Key = snipequarantine.Fingerprint(data[n*size:])
		parts[n].Known = known[n/8]&(1<<(n%8)) != 0
		if len(rounds) == 0 {
			continue
		}
		if parts[n].Round = rounds[n]; !snipequarantine.ValidRound(rounds[n]) {
			return nil, errors.Wrap(snipequarantine.ErrSuspect, "round too high")
		}
	}
	return parts, nil
}

// decodePartCrashes returns the valid crashes of parts in a message, and the number of others. Together they have no more
// parts than an instance reports at a time.
func decodePartCrashes(all []*snipeproto.PartCrash, table *snipeproto.PartTable) (decoded []snipequarantine.PartCrash, wrong int) {
	parts, err := decodePartTable(table)
	if err != nil {
		return nil, len(all)
	}
	total := 0
	for _, m := range all {
		c, err := decodePartCrash(m, parts)
		if total += len(c.Parts); err != nil || total > maxPartTable {
			wrong++
			continue
		}
		decoded = append(decoded, c)
	}
	return decoded, wrong
}

// decodePartCrash returns one crash of parts. Its errors wrap those of snipequarantine.
func decodePartCrash(m *snipeproto.PartCrash, table []snipequarantine.PartMark) (snipequarantine.PartCrash, error) {
	text, err := snipequarantine.FingerprintFrom(m.GetText())
	if err != nil {
		return snipequarantine.PartCrash{}, err
	}
	c := snipequarantine.PartCrash{Upstream: m.GetUpstream(), Text: text}
	runs := m.GetRuns()
	if len(runs)%2 != 0 {
		return c, errors.Wrap(snipequarantine.ErrSuspect, "run of parts without a length")
	}
	for ; len(runs) > 0; runs = runs[2:] {
		from, count := uint64(runs[0]), uint64(runs[1])
		if from+count > uint64(len(table)) || uint64(len(c.Parts))+count > snipequarantine.MaxParts {
			return c, errors.Wrap(snipequarantine.ErrSuspect, "run of parts beyond the table")
		}
		c.Parts = append(c.Parts, table[from:from+count]...)
	}
	return c, c.Check()
}
