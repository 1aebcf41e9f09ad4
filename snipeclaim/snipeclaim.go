// Package snipeclaim executes a non-idempotent call with a request key at most once,
// even if its caller repeats it through several instances.
//
// Design. Such a call is claimed before it is dispatched: a table row, whose key is a
// hash of the team and the request key, goes through the states Claimed, Dispatched,
// and Answered or Unanswered. Each step is conditional on the row's version, which only
// the attempt that made the previous step knows.
//
// Invariants:
//
//   - No call is dispatched without a Dispatched row written by its own attempt.
//   - Any attempt may take over a Claimed row: the attempt that held the row fails its
//     next step, before it dispatches. Liveness and clocks decide only when a takeover
//     is useful, never whether it is safe.
//   - A Dispatched row is never taken over. It ends as Answered, as Unanswered, or as
//     Released if its attempt is certain that the call did not run, or it is swept once
//     it has expired.
//   - The version of a row never restarts while an attempt that knows an older version
//     may still dispatch: a release is a state, not a deletion, and only the sweep
//     deletes rows.
//   - An attempt dispatches only before its call's deadline, and a row outlives every
//     deadline by hours. A claimant that was paused between its Dispatched row and the
//     dispatch therefore does not dispatch once the row is swept. The pause that no
//     check can detect, between the check and the first byte on an open connection,
//     would have to last for Retention.
//   - NotRun is reported only by an attempt that did not dispatch, or whose dispatches
//     all ended as NotRun.
//
// While the table is down, such calls are refused at once as NotRun. An answer that has
// been produced is delivered in any case; if its row cannot be completed, repetitions
// of the call fail with MayHaveRun.
package snipeclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// Limits and durations.
const (
	// Retention is how long a key is remembered after its last step.
	Retention = 24 * time.Hour
	// MaxKept bounds the answer that is stored for repetitions, in bytes.
	MaxKept = 32 << 10

	// claimAge is the age from which on a Claimed row counts as abandoned. A Dispatched row
	// no longer counts as in flight once its call's deadline has passed by claimAge.
	claimAge = 10 * time.Second
	// inFlightRetry is the Retry-After of a repetition while another attempt with the
	// key is in flight, downRetry that of a call while the table is down.
	inFlightRetry = time.Second
	downRetry     = 5 * time.Second
	// finishTime bounds the step that completes a row, with its retries. maxFinishing
	// bounds the number of these steps in progress; beyond it rows are not completed.
	finishTime   = 30 * time.Second
	maxFinishing = 256
	// maxClaimTries bounds the tries to write a Claimed row. Each try but the first follows a
	// conflict with another attempt.
	maxClaimTries = 4
)

// State is the progress of a claimed call.
type State string

// States of a claim.
const (
	// Claimed: an attempt holds the claim and has not dispatched the call.
	Claimed State = "Claimed"
	// Dispatched: the call may run at any time.
	Dispatched State = "Dispatched"
	// Answered: the call has run and its answer is complete.
	Answered State = "Answered"
	// Unanswered: the call may have run, and its last attempt ended without a complete answer.
	Unanswered State = "Unanswered"
	// Released: the call did not run; any attempt may take the row over.
	Released State = "Released"
)

// part is one chunk of a stored answer.
type part struct {
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Unframed    bool   `json:",omitempty"`
	Data        []byte
	Last        bool `json:",omitempty"`
}

// record is the JSON document in the row of a claim.
type record struct {
	// Fingerprint is the hash of the request that the key was first used for.
	Fingerprint string
	// Instance and Token identify the attempt that made the last step.
	Instance string
	Token    string
	State    State
	// Changed is the time of the last step. Deadline is the deadline of the call. Expires
	// is the time after which the row may be swept, once sweepMargin has also passed. All
	// are times by Instance's clock.
	Changed  time.Time
	Deadline time.Time
	Expires  time.Time
	// Kept means that Answer is the whole answer. Larger answers are not stored.
	Kept   bool   `json:",omitempty"`
	Answer []part `json:",omitempty"`
}

// Claims executes calls, and executes a non-idempotent call at most once for its
// request key. Its exported fields are set before the first call. It is safe for
// concurrent use.
type Claims struct {
	// Table is the platform's table for claims, SweepTable the same table for the
	// sweep.
	Table, SweepTable snipeplatform.Table
	// Instance is this instance's name.
	Instance string
	// Serve executes a call with its retries. It must call Execute for each attempt.
	Serve func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Dispatch executes a call at its upstream.
	Dispatch func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// IsLive reports whether an instance is considered alive. A wrong result affects only
	// when a row is taken over or reported as not in flight, never safety.
	IsLive func(instance string) bool
	// SweepsPartition reports whether this instance sweeps a partition. SweepInterval is
	// the interval between the sweeps of two partitions.
	SweepsPartition func(partition string) bool
	SweepInterval   time.Duration
	// Timeout bounds each step before the dispatch.
	Timeout time.Duration
	// Operation returns a new identifier for a write to the table.
	Operation func() string
	// Log receives the events.
	Log *snipelog.Logger

	finishing   sync.WaitGroup
	finishSlots chan struct{}
	initSlots   sync.Once
	cursor      int // number of the last partition considered for a sweep; used only by Run's goroutine
}

// attempt is one attempt to execute a call, with the claim that it holds. It belongs to
// the call's goroutine until the call has its final answer, then to the goroutine that
// completes the row.
type attempt struct {
	claims  *Claims
	key     snipeplatform.Key
	record  record
	version uint64
	// caller is the caller's context. It ends when the caller disconnects.
	caller context.Context
	// dispatched means that the call was passed to Dispatch at least once.
	dispatched bool
	// kept is the answer so far, or nil if its size in bytes exceeds MaxKept.
	kept []part
	size int
	// callerGone means that the caller accepts no more of the answer.
	callerGone bool
}

// attemptKey is the context key of the attempt of a call.
type attemptKey struct{}

// Call executes a call. If the call is not idempotent and has a request key, it is
// executed at most once for the key: a repetition receives the stored answer, or an error
// if there is none. If its caller disconnects, such a call continues, at most to its deadline.
func (s *Claims) Call(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if c.Idempotent || c.Key == "" {
		return s.Serve(ctx, c, sink)
	}
	a, answer, err := s.claim(ctx, c)
	if err != nil {
		return err
	}
	if a == nil {
		return replay(answer, sink)
	}
	// The call continues when its caller disconnects, because the caller will repeat
	// the key and must find the answer.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	a.caller = ctx
	err = s.Serve(context.WithValue(detached, attemptKey{}, a), c, a.collect(sink))
	s.finish(a, err)
	return err
}

// Execute marks the call as dispatched and dispatches it. Serve calls Execute for each
// attempt of a call passed to Call.
func (s *Claims) Execute(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	a, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return s.Dispatch(ctx, c, sink)
	}
	if err := a.dispatch(ctx, c); err != nil {
		return err
	}
	return s.Dispatch(ctx, c, sink)
}

// Wait waits until the rows of all calls that have ended are completed or have
// failed to be completed.
func (s *Claims) Wait() { s.finishing.Wait() }

// rowKey returns the key of the row for a team's request key.
func rowKey(team, key string) snipeplatform.Key {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	name := hex.EncodeToString(sum[:])
	return snipeplatform.Key{Partition: partitionName(int(sum[0])<<2 | int(sum[1])>>6), Sort: name[:32]}
}

// partitions is the number of partitions that hold the claims, so that each partition
// can be listed for the sweep.
const partitions = 1024

func partitionName(n int) string { return "Claims/" + strconv.Itoa(n) }

// fingerprint returns the hash of the request of a call.
func fingerprint(c *snipecall.Call) string {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Path, c.Service, c.Adapter.String(), strconv.FormatBool(c.Stream)} {
		// Writing to a hash never fails.
		_, _ = h.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// claim claims the call for a new attempt. If the call has a stored answer, claim
// returns the answer and no attempt. It returns an error if the table is down, or if the
// row of the key may not be taken over.
func (s *Claims) claim(ctx context.Context, c *snipecall.Call) (*attempt, []part, error) {
	bounded, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	a := &attempt{claims: s, key: rowKey(c.Team, c.Key)}
	a.record = record{
		Fingerprint: fingerprint(c), Instance: s.Instance, Token: s.Operation(), State: Claimed,
		Deadline: c.Deadline.Round(0).UTC(),
	}
	for range maxClaimTries {
		err := a.step(bounded, a.version)
		if err == nil {
			return a, nil, nil
		}
		if !errors.Is(err, snipeplatform.ErrConflict) {
			return nil, nil, unavailableError("claim", err)
		}
		row, err := s.Table.Get(bounded, a.key)
		if errors.Is(err, snipeplatform.ErrNotFound) {
			a.version = 0
			continue
		}
		if err != nil {
			return nil, nil, unavailableError("read claim", err)
		}
		answer, err := s.checkRow(row, a.record)
		if err != nil || answer != nil {
			return nil, answer, err
		}
		a.version = row.Version
	}
	return nil, nil, inFlightError()
}

// checkRow decides about a call whose key already has a row. It returns an error, a
// stored answer, or neither if the row may be taken over.
func (s *Claims) checkRow(row snipeplatform.Row, mine record) ([]part, error) {
	var r record
	if err := json.Unmarshal(row.Data, &r); err != nil {
		return nil, snipeerror.New(snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "claim cannot be read")
	}
	if r.Fingerprint != mine.Fingerprint {
		return nil, snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, "request key was used for another request")
	}
	switch r.State {
	case Claimed:
		if !s.abandoned(r) {
			return nil, inFlightError()
		}
		s.Log.Log(snipelog.ClaimTakenOver, snipelog.Fields{"From": r.Instance})
		return nil, nil
	case Answered:
		if !r.Kept {
			return nil, snipeerror.New(snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "already answered; the answer is not kept")
		}
		return r.Answer, nil
	case Released:
		return nil, nil
	case Dispatched:
		if s.IsLive(r.Instance) && time.Since(r.Deadline) < claimAge {
			return nil, inFlightError()
		}
	}
	return nil, snipeerror.New(snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "an earlier attempt may have run and has no answer")
}

// abandoned reports whether the attempt of a Claimed row seems to be gone: its instance
// is considered dead, or made the row's last step more than claimAge ago.
func (s *Claims) abandoned(r record) bool {
	return !s.IsLive(r.Instance) || time.Since(r.Changed) > claimAge
}

func inFlightError() error {
	return snipeerror.New(snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "an attempt with this key is in flight").After(inFlightRetry)
}

func unavailableError(step string, err error) error {
	return snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, step+": "+err.Error()).After(downRetry)
}

// replay sends a stored answer to sink.
func replay(answer []part, sink snipecall.Sink) error {
	for n, p := range answer {
		k := snipecall.Chunk{Status: p.Status, ContentType: p.ContentType, Unframed: p.Unframed, Data: p.Data, Last: p.Last}
		k.Sequence = uint64(n) + 1
		if err := sink(k); err != nil {
			return err
		}
	}
	return nil
}
