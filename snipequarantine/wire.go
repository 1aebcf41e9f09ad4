package snipequarantine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeproto"
)

// Limits of the values that peers (other instances) may send.
const (
	maxTextBytes = 512            // longer texts are refused
	maxLeft      = 24 * time.Hour // a longer time is shortened
)

// ErrUnknownMember is returned for a member whose address is not known.
var ErrUnknownMember = errors.New("unknown member")

// PathPrefix is the path prefix at which Handler is mounted.
const PathPrefix = snipeproto.QuarantinePathPrefix

// Handler returns the handler of peers' requests. The caller checks the peer secret.
func (g *Guard) Handler() http.Handler { return snipeproto.NewQuarantineServer(&server{guard: g}) }

type server struct{ guard *Guard }

// Begin implements snipeproto.Quarantine.
func (s *server) Begin(_ context.Context, in *snipeproto.AttemptState) (*snipeproto.VerdictState, error) {
	a, err := decodeAttempt(in)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	v := s.guard.Registry.Begin(a)
	return &snipeproto.VerdictState{
		Decision: uint32(v.Decision), WaitMilliseconds: v.Wait.Milliseconds(), Upstream: v.Upstream,
	}, nil
}

// Finish implements snipeproto.Quarantine.
func (s *server) Finish(_ context.Context, in *snipeproto.FinishRequest) (*snipeproto.FinishResponse, error) {
	a, err := decodeAttempt(in.Attempt)
	if err != nil || in.End >= uint32(endCount) {
		return nil, twirp.InvalidArgument.Errorf("attempt: %v, end %d", err, in.End)
	}
	return &snipeproto.FinishResponse{Record: s.guard.Registry.Finish(a, End(in.End))}, nil
}

// Replicate implements snipeproto.Quarantine.
func (s *server) Replicate(_ context.Context, in *snipeproto.ReplicateRequest) (*snipeproto.ReplicateResponse, error) {
	f, err := FingerprintFrom(in.Fingerprint)
	if err == nil {
		err = s.guard.MergeAndSpread(f, in.Record)
	}
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	return &snipeproto.ReplicateResponse{}, nil
}

func decodeAttempt(in *snipeproto.AttemptState) (Attempt, error) {
	f, err := FingerprintFrom(in.GetFingerprint())
	if err != nil {
		return Attempt{}, err
	}
	left := time.Duration(in.GetLeftMilliseconds()) * time.Millisecond
	for _, s := range []string{in.GetId(), in.GetEntry(), in.GetUpstream(), in.GetMark()} {
		if len(s) > maxTextBytes {
			return Attempt{}, errors.Wrapf(snipecall.ErrBadName, "%d bytes", len(s))
		}
	}
	return Attempt{
		Fingerprint: f, ID: in.GetId(), Entry: in.GetEntry(), Upstream: in.GetUpstream(), Mark: in.GetMark(),
		Left:  min(max(left, 0), maxLeft),
		Alone: in.GetAlone(), Started: in.GetStarted(), Moved: in.GetMoved(),
	}, nil
}

func encodeAttempt(a Attempt) *snipeproto.AttemptState {
	return &snipeproto.AttemptState{
		Fingerprint: a.Fingerprint[:], Id: a.ID, Entry: a.Entry, Upstream: a.Upstream, Mark: a.Mark,
		LeftMilliseconds: a.Left.Milliseconds(), Alone: a.Alone, Started: a.Started, Moved: a.Moved,
	}
}

// Client sends requests to other members; its methods fit the fields of a Guard.
type Client struct {
	// HTTP sends requests with the peer secret.
	HTTP snipeproto.HTTPClient
	// Address returns the address at which a member serves its peers, and false if the
	// member is not known.
	Address func(member string) (netip.AddrPort, bool)
}

// remote returns a client of a member's service.
func (c *Client) remote(member string) (snipeproto.Quarantine, error) {
	address, ok := c.Address(member)
	if !ok {
		return nil, errors.Wrap(ErrUnknownMember, member)
	}
	return snipeproto.NewQuarantineProtobufClient("http://"+address.String(), c.HTTP), nil
}

// Begin calls Registry.Begin on a member. The verdict's Wait is at least a millisecond.
func (c *Client) Begin(ctx context.Context, member string, a Attempt) (Verdict, error) {
	remote, err := c.remote(member)
	if err != nil {
		return Verdict{}, err
	}
	out, err := remote.Begin(ctx, encodeAttempt(a))
	if err != nil {
		return Verdict{}, errors.Wrapf(err, "begin attempt at %s", member)
	}
	if out.Decision >= uint32(decisionCount) {
		return Verdict{}, errors.Errorf("begin attempt at %s: unknown decision %d", member, out.Decision)
	}
	wait := time.Duration(out.WaitMilliseconds) * time.Millisecond
	return Verdict{Decision: Decision(out.Decision), Wait: max(wait, time.Millisecond), Upstream: out.Upstream}, nil
}

// Finish calls Registry.Finish on a member and returns the fingerprint's record.
func (c *Client) Finish(ctx context.Context, member string, a Attempt, e End) ([]byte, error) {
	remote, err := c.remote(member)
	if err != nil {
		return nil, err
	}
	out, err := remote.Finish(ctx, &snipeproto.FinishRequest{Attempt: encodeAttempt(a), End: uint32(e)})
	if err != nil {
		return nil, errors.Wrapf(err, "finish attempt at %s", member)
	}
	return out.Record, nil
}

// Replicate sends a record to a member, which merges and spreads it.
func (c *Client) Replicate(ctx context.Context, member string, f Fingerprint, record []byte) error {
	remote, err := c.remote(member)
	if err != nil {
		return err
	}
	if _, err := remote.Replicate(ctx, &snipeproto.ReplicateRequest{Fingerprint: f[:], Record: record}); err != nil {
		return errors.Wrapf(err, "replicate to %s", member)
	}
	return nil
}
