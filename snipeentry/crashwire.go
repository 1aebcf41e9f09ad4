package snipeentry

import (
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipequarantine"
)

func encodeCrashReport(r snipequarantine.Report) *snipeproto.CrashReportRequest {
	m := &snipeproto.CrashReportRequest{}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &snipeproto.UpstreamCrash{Fingerprint: c.Fingerprint[:], Upstream: c.Upstream, Round: c.Round})
	}
	for _, a := range r.Answers {
		m.Answers = append(m.Answers, encodeCrashAnswer(a.Fingerprint, a.Round))
	}
	m.PartCrashes, m.PartTable = encodePartCrashes(r.PartCrashes)
	for _, a := range r.PartAnswers {
		m.PartAnswers = append(m.PartAnswers, encodeCrashAnswer(a.Fingerprint, a.Round))
	}
	for _, a := range r.PartsKnown {
		m.PartsKnown = append(m.PartsKnown, encodeCrashAnswer(a.Fingerprint, a.Round))
	}
	return m
}

func encodeCrashAnswer(f snipequarantine.Fingerprint, round uint64) *snipeproto.CrashAnswer {
	return &snipeproto.CrashAnswer{Fingerprint: f[:], Round: round}
}

// decodeCrashReport returns the valid parts of a report and counts the others.
func (i *Instance) decodeCrashReport(m *snipeproto.CrashReportRequest) snipequarantine.Report {
	var r snipequarantine.Report
	for _, c := range m.GetCrashes() {
		d := snipequarantine.UpstreamCrash{Upstream: c.GetUpstream(), Round: c.GetRound()}
		var err error
		if d.Fingerprint, err = snipequarantine.FingerprintFrom(c.GetFingerprint()); err != nil || d.Check() != nil {
			i.countWrongCrashMessage()
			continue
		}
		r.Crashes = append(r.Crashes, d)
	}
	r.Answers = i.decodeCrashAnswers(m.GetAnswers())
	var wrong int
	r.PartCrashes, wrong = decodePartCrashes(m.GetPartCrashes(), m.GetPartTable())
	for range wrong {
		i.countWrongCrashMessage()
	}
	r.PartAnswers = i.decodeCrashAnswers(m.GetPartAnswers())
	r.PartsKnown = i.decodeCrashAnswers(m.GetPartsKnown())
	return r
}

// decodeCrashAnswers returns the valid ones of a message and counts the others.
func (i *Instance) decodeCrashAnswers(all []*snipeproto.CrashAnswer) []snipequarantine.Answer {
	var decoded []snipequarantine.Answer
	for _, a := range all {
		f, err := snipequarantine.FingerprintFrom(a.GetFingerprint())
		if err != nil || !snipequarantine.ValidRound(a.GetRound()) {
			i.countWrongCrashMessage()
			continue
		}
		decoded = append(decoded, snipequarantine.Answer{Fingerprint: f, Round: a.GetRound()})
	}
	return decoded
}

func encodeSuspects(all []snipequarantine.Suspect) []*snipeproto.CrashSuspect {
	encoded := make([]*snipeproto.CrashSuspect, 0, len(all))
	for _, s := range all {
		encoded = append(encoded, &snipeproto.CrashSuspect{
			Fingerprint: s.Fingerprint[:], Round: s.Round, Refused: s.Refused,
			LeftMilliseconds: s.Left.Milliseconds(), Upstreams: s.Upstreams, Part: s.Part,
		})
	}
	return encoded
}

// decodeSuspects returns the valid decisions of a message and counts the others.
func (i *Instance) decodeSuspects(all []*snipeproto.CrashSuspect) []snipequarantine.Suspect {
	decoded := make([]snipequarantine.Suspect, 0, len(all))
	for _, m := range all {
		s, err := decodeSuspect(m)
		if err != nil {
			i.countWrongCrashMessage()
			continue
		}
		decoded = append(decoded, s)
	}
	return decoded
}

// decodeSuspect returns the decision of a message. Its errors wrap those of snipequarantine.
func decodeSuspect(m *snipeproto.CrashSuspect) (snipequarantine.Suspect, error) {
	f, err := snipequarantine.FingerprintFrom(m.GetFingerprint())
	if err != nil {
		return snipequarantine.Suspect{}, err
	}
	ms := m.GetLeftMilliseconds()
	if ms > snipequarantine.SuspectTime.Milliseconds() {
		// As a time.Duration it may be negative, which would release the fingerprint.
		return snipequarantine.Suspect{}, errors.Wrapf(snipequarantine.ErrSuspect, "refused for %d ms", ms)
	}
	s := snipequarantine.Suspect{
		Fingerprint: f, Round: m.GetRound(), Refused: m.GetRefused(), Part: m.GetPart(),
		Left: time.Duration(max(ms, 0)) * time.Millisecond, Upstreams: m.GetUpstreams(),
	}
	return s, s.Check()
}
