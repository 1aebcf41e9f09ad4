package snipeweight

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
)

// maxPoll and maxHold bound the times that a request may state.
const (
	maxPoll = 10 * time.Second
	maxHold = time.Minute
)

// Remote returns the Holder for the queue of another instance, with the given
// name, at its address.
func Remote(name string, address netip.AddrPort, client snipeproto.HTTPClient) Holder {
	service := snipeproto.NewWeightProtobufClient("http://"+address.String(), client)
	return Holder{
		Name: name,
		Ask: func(ctx context.Context, a Ask) (Answer, error) {
			return askRemote(ctx, service, a)
		},
		Leave: func(ctx context.Context, id ID) error {
			_, err := service.Leave(ctx, &snipeproto.WeightLeaveRequest{Asker: id.Asker, Number: id.Number})
			return wrapError(err, "leave the queue of "+name)
		},
		Done: func(ctx context.Context, id ID, path string, failed bool) error {
			_, err := service.Done(ctx, &snipeproto.WeightDoneRequest{
				Asker: id.Asker, Number: id.Number, Path: path, Failed: failed,
			})
			return wrapError(err, "end a load at "+name)
		},
	}
}

func wrapError(err error, operation string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, operation)
}

// askRemote sends the length of the poll, the time left until the deadline of ctx,
// to the holder, which ends the poll, and waits answerSlack longer for the answer.
// The end of ctx does not end the call, because an answer that grants permission
// could then be lost.
func askRemote(ctx context.Context, service snipeproto.Weight, a Ask) (Answer, error) {
	length := poll
	if end, ok := ctx.Deadline(); ok {
		length = time.Until(end)
	}
	outer, cancel := context.WithTimeout(context.WithoutCancel(ctx), length+answerSlack)
	defer cancel()
	r, err := service.Ask(outer, &snipeproto.WeightAskRequest{
		Asker: a.ID.Asker, Number: a.ID.Number, Path: a.Path, Team: a.Team, Weight: a.Weight,
		HoldMilliseconds: a.Hold.Milliseconds(), PollMilliseconds: max(length.Milliseconds(), 1), Renew: a.Renew,
	})
	if err != nil {
		return Answer{}, errors.Wrap(err, "ask")
	}
	return Answer{
		Granted: r.GetGranted(), Backoff: r.GetBackoff(),
		Wait: time.Duration(r.GetWaitMilliseconds()) * time.Millisecond,
	}, nil
}

// Server serves a Queue to other instances.
type Server struct {
	// Queue is the queue; set before the first request.
	Queue *Queue
}

// Ask implements snipeproto.Weight: it makes one poll at the queue. It fails if the
// requesting instance has no name, or a duration or the weight is out of range.
func (s *Server) Ask(ctx context.Context, r *snipeproto.WeightAskRequest) (*snipeproto.WeightAskResponse, error) {
	length := time.Duration(r.GetPollMilliseconds()) * time.Millisecond
	hold := time.Duration(r.GetHoldMilliseconds()) * time.Millisecond
	weight := r.GetWeight()
	switch {
	case r.GetAsker() == "":
		return nil, twirp.RequiredArgumentError("asker")
	case length <= 0 || length > maxPoll:
		return nil, twirp.InvalidArgumentError("poll_milliseconds", "out of range")
	case hold <= 0 || hold > maxHold:
		return nil, twirp.InvalidArgumentError("hold_milliseconds", "out of range")
	case math.IsNaN(weight) || weight < 0 || math.IsInf(weight, 0):
		return nil, twirp.InvalidArgumentError("weight", "must be a number from 0")
	}
	bounded, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	a := s.Queue.Ask(bounded, Ask{
		ID: ID{Asker: r.GetAsker(), Number: r.GetNumber()}, Path: r.GetPath(), Team: r.GetTeam(), Weight: weight, Hold: hold,
		Renew: r.GetRenew(),
	})
	return &snipeproto.WeightAskResponse{
		Granted: a.Granted, Backoff: a.Backoff, WaitMilliseconds: a.Wait.Milliseconds(),
	}, nil
}

// Leave implements snipeproto.Weight: it removes a request from the queue.
func (s *Server) Leave(_ context.Context, r *snipeproto.WeightLeaveRequest) (*snipeproto.WeightLeaveResponse, error) {
	s.Queue.Leave(ID{Asker: r.GetAsker(), Number: r.GetNumber()})
	return &snipeproto.WeightLeaveResponse{}, nil
}

// Done implements snipeproto.Weight: it ends a permission.
func (s *Server) Done(_ context.Context, r *snipeproto.WeightDoneRequest) (*snipeproto.WeightDoneResponse, error) {
	s.Queue.Done(ID{Asker: r.GetAsker(), Number: r.GetNumber()}, r.GetPath(), r.GetFailed())
	return &snipeproto.WeightDoneResponse{}, nil
}
