package snipeentry

import (
	"context"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipequarantine"
)

// fingerprintField is the log field for the fingerprint of a request.
const fingerprintField = "Fingerprint"

// buildCrashes creates what observes the requests that crash upstreams, and what shares it with the
// other instances.
func (i *Instance) buildCrashes() {
	i.crashes = &snipequarantine.Exchange{
		Self: memberID(i.Settings.Peers, i.Incarnation), Members: i.crashMembers, Candidates: i.crashCandidates,
		Report: i.sendCrashReport, Announce: i.sendCrashAnnouncement, Changed: i.suspectChanged,
		SpreadTime: i.Settings.CrashTime.Value(),
	}
	i.crashDetector = &crashDetector{
		Dial: i.recordDials(i.upstreamDialer(0)), Leaving: i.upstreamLeaving, ConfirmTime: i.Settings.CrashTime.Value(), Log: i.Log, Meter: i.meter,
		Crashed: i.crashes.Crashed, PartsCrashed: i.crashes.PartsCrashed,
	}
	i.quarantineStore = &quarantineStore{
		Read: i.source(quarantineTable).Read, Write: i.write, Operation: i.Operation, Restore: i.crashes.Restore,
		Wrong: i.countWrongCrashMessage,
	}
	i.meter.Gauge(`snipepitch_quarantined_parts{state="Refused"}`, func() float64 {
		refused, _ := i.crashes.Parts.Count()
		return float64(refused)
	})
	i.meter.Gauge(`snipepitch_quarantined_parts{state="Watched"}`, func() float64 {
		_, watched := i.crashes.Parts.Count()
		return float64(watched)
	})
	i.meter.Gauge(`snipepitch_quarantined_fingerprints{state="Refused"}`, func() float64 {
		refused, _ := i.crashes.Suspects.Count()
		return float64(refused)
	})
	i.meter.Gauge(`snipepitch_quarantined_fingerprints{state="Watched"}`, func() float64 {
		_, watched := i.crashes.Suspects.Count()
		return float64(watched)
	})
}

// crashAnswered records that a request of a fingerprint was answered, at the detector and, if the
// fingerprint is a suspect, at the other instances.
func (i *Instance) crashAnswered(f snipequarantine.Fingerprint) {
	i.crashDetector.Answered(f)
	if i.crashes.Suspects.Known(f) {
		i.crashes.Answered(f)
	}
}

// gatewayCrashes returns the functions by which the gateway reports broken answers and asks which
// requests are refused.
func (i *Instance) gatewayCrashes() snipegateway.Crashes {
	return snipegateway.Crashes{
		Broke: i.crashDetector.Broke, Replaced: i.crashDetector.Replaced, Waiting: i.crashDetector.Waiting, Lives: i.crashDetector.Lives,
		Suspects: &i.crashes.Suspects, Answered: i.crashAnswered, Parts: &i.crashes.Parts, PartsAnswered: i.crashes.PartsAnswered,
		Refused: func() { i.meter.Count("snipepitch_quarantine_refusals_total") },
	}
}

// stepCrashes begins what is due to be sent to other instances and to the store.
func (i *Instance) stepCrashes(ctx context.Context) {
	i.crashes.Step(ctx)
	if i.crashes.Isolated() {
		i.quarantineStore.ReadAgain()
	}
	i.quarantineStore.step(ctx)
}

// upstreamLeaving reports whether an upstream has announced that it is leaving, in the registry or in
// an answer, or has left the registry. Some upstreams leave it without an announcement and go on for a
// time; the entry of one that crashed stays for seconds.
func (i *Instance) upstreamLeaving(id string) bool {
	u := i.directory.Snapshot().ByID(id)
	return u == nil || u.Leaving || i.signals.Leaving(id)
}

// suspectChanged logs a decision about a fingerprint. The instance that made it stores it; of a
// decision whose time is over, a coordinator removes the row.
func (i *Instance) suspectChanged(s snipequarantine.Suspect, source snipequarantine.Source) {
	fields := snipelog.Fields{
		fingerprintField: s.Fingerprint.String(), "Part": s.Part, sourceField: source, "Round": s.Round,
		"Crashed": s.Upstreams, "LeftSeconds": int64(s.Left.Seconds()),
	}
	stores := source == snipequarantine.SourceOwn || source == snipequarantine.SourceTime && i.crashes.Coordinates(s.Fingerprint)
	switch {
	case s.Left <= 0:
		i.Log.Log(snipelog.FingerprintReleased, fields)
		if s.Refused && stores {
			i.quarantineStore.Remove(s.Fingerprint)
		}
	case s.Refused:
		i.Log.Log(snipelog.FingerprintRefused, fields)
		if stores {
			i.quarantineStore.Put(s)
		}
	default:
		i.Log.Log(snipelog.FingerprintWatched, fields)
	}
}

// memberID returns the identifier of one start of an instance: the address at which other instances
// reach it, and its incarnation.
func memberID(peer netip.AddrPort, incarnation string) string {
	return peer.String() + "/" + incarnation
}

// memberAddress returns the address in an identifier of memberID.
func memberAddress(id string) netip.AddrPort {
	address, _, _ := strings.Cut(id, "/")
	parsed, _ := netip.ParseAddrPort(address) // the zero address reaches nobody
	return parsed
}

// crashMembers returns the live instances that are not leaving.
func (i *Instance) crashMembers() []snipequarantine.Member {
	return i.membersWhere(func(other snipeowner.Instance) bool { return !other.Leaving })
}

// crashCandidates returns the instances that may coordinate fingerprints. Instances on standby renew
// their rows seldom, so that the loss of one is noticed late.
func (i *Instance) crashCandidates() []snipequarantine.Member { return i.membersWhere(mayCoordinate) }

func (i *Instance) membersWhere(allowed func(snipeowner.Instance) bool) []snipequarantine.Member {
	ranked := i.holder.View().Ranked
	members := make([]snipequarantine.Member, 0, len(ranked))
	for _, other := range ranked {
		if allowed(other) {
			members = append(members, snipequarantine.NewMember(memberID(other.Peer, other.Incarnation), other.Domain))
		}
	}
	return members
}

// sendCrashReport sends a report to another instance.
func (i *Instance) sendCrashReport(ctx context.Context, member string, r snipequarantine.Report) ([]snipequarantine.Suspect, error) {
	answer, err := i.peers.crashes.client(memberAddress(member)).Report(ctx, encodeCrashReport(r))
	if err != nil {
		return nil, crashMessageError(err)
	}
	return i.decodeSuspects(answer.GetSuspects()), nil
}

// sendCrashAnnouncement sends decisions to another instance.
func (i *Instance) sendCrashAnnouncement(ctx context.Context, member string, decisions []snipequarantine.Suspect) error {
	r := &snipeproto.CrashAnnounceRequest{Suspects: encodeSuspects(decisions)}
	_, err := i.peers.crashes.client(memberAddress(member)).Announce(ctx, r)
	return crashMessageError(err)
}

// crashMessageError returns the error of a message to another instance; it wraps
// snipequarantine.ErrUnsupported if the instance runs a version that does not know the message.
func crashMessageError(err error) error {
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.BadRoute {
		return errors.Wrap(snipequarantine.ErrUnsupported, failure.Msg())
	}
	return err
}

// crashServer serves the messages of other instances about requests that crash upstreams.
type crashServer struct{ *Instance }

// Report implements snipeproto.Crash.
func (s *crashServer) Report(_ context.Context, r *snipeproto.CrashReportRequest) (*snipeproto.CrashReportResponse, error) {
	decisions := s.crashes.HandleReport(s.decodeCrashReport(r))
	return &snipeproto.CrashReportResponse{Suspects: encodeSuspects(decisions)}, nil
}

// Announce implements snipeproto.Crash.
func (s *crashServer) Announce(_ context.Context, r *snipeproto.CrashAnnounceRequest) (*snipeproto.CrashAnnounceResponse, error) {
	s.crashes.HandleAnnouncement(s.decodeSuspects(r.GetSuspects()))
	return &snipeproto.CrashAnnounceResponse{}, nil
}

// countWrongCrashMessage counts a part of a message or a row that was ignored as invalid.
func (i *Instance) countWrongCrashMessage() { i.meter.Count("snipepitch_crash_wrong_messages_total") }
