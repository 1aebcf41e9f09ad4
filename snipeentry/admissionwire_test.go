package snipeentry

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeproto"
)

const senderAddress = "10.1.0.7:70"

// goodAcquire returns a valid message that asks for a permit.
func goodAcquire() *snipeproto.AdmissionAcquireRequest {
	return &snipeproto.AdmissionAcquireRequest{
		Version: admissionVersion, Instance: senderAddress, Service: plainService, Tokens: 1, DeadlineMilliseconds: 500,
	}
}

// TestWrongAcquire guards against permits for messages of another version or with nonsense, and
// against an error that does not say what is wrong.
func TestWrongAcquire(t *testing.T) {
	type message = snipeproto.AdmissionAcquireRequest
	tests := map[string]struct {
		change func(m *message)
		want   string
	}{
		"OldVersion":     {func(m *message) { m.Version = 0 }, "version 0, expected 1"},
		"NewVersion":     {func(m *message) { m.Version = 2 }, "version 2, expected 1"},
		"NoInstance":     {func(m *message) { m.Instance = "" }, "instance"},
		"NoService":      {func(m *message) { m.Service = "" }, "service"},
		"LongService":    {func(m *message) { m.Service = strings.Repeat("x", maxName+1) }, "service"},
		"LongWorkspace":  {func(m *message) { m.Workspace = strings.Repeat("x", maxName+1) }, "workspace"},
		"Negative":       {func(m *message) { m.Priority = -1 }, "priority -1"},
		"HugePriority":   {func(m *message) { m.Priority = math.MaxInt32 }, "priority"},
		"NaN":            {func(m *message) { m.Tokens = math.NaN() }, "tokens"},
		"Infinite":       {func(m *message) { m.Tokens = math.Inf(1) }, "tokens"},
		"NegativeTokens": {func(m *message) { m.Tokens = -1 }, "tokens"},
		"HugeDeadline":   {func(m *message) { m.DeadlineMilliseconds = math.MaxInt64 }, "time"},
		"PastDeadline":   {func(m *message) { m.DeadlineMilliseconds = -1 }, "time"},
		"HugeTarget":     {func(m *message) { m.TargetMilliseconds = math.MinInt64 }, "time"},
		"NegativeAge":    {func(m *message) { m.AgeMilliseconds = -1 }, "time"},
		"ManyExcluded":   {func(m *message) { m.Excluded = make([]string, maxExcluded+1) }, "excluded"},
		"NoExcluded":     {func(m *message) { m.Excluded = []string{""} }, "excluded"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newAdmissionNetwork(1, 4)
				m := goodAcquire()
				_, err := (&admissionServer{lender: w.instances[0].Lender}).Acquire(t.Context(), m)
				must.NoError(t, err)
				out, _ := w.instances[0].Lender.stats()
				tt.change(m)
				_, err = (&admissionServer{lender: w.instances[0].Lender}).Acquire(t.Context(), m)
				var failure twirp.Error
				must.True(t, errors.As(err, &failure))
				must.Eq(t, twirp.InvalidArgument, failure.Code())
				must.StrContains(t, failure.Msg(), tt.want)
				after, _ := w.instances[0].Lender.stats()
				must.Eq(t, out, after)
			})
		})
	}
}

// TestWrongRelease guards against messages with results that are partly taken over, or huge.
func TestWrongRelease(t *testing.T) {
	type message = snipeproto.AdmissionReleaseRequest
	result := func() *snipeproto.AdmissionResult { return &snipeproto.AdmissionResult{Service: plainService} }
	tests := map[string]struct {
		change func(m *message)
		want   string
	}{
		"Version":         {func(m *message) { m.Version = 7 }, "version 7"},
		"Instance":        {func(m *message) { m.Instance = "somewhere" }, "instance"},
		"NoService":       {func(m *message) { m.Results[1].Service = "" }, "service"},
		"Outcome":         {func(m *message) { m.Results[1].Outcome = 99 }, "outcome 99"},
		"NegativeOutcome": {func(m *message) { m.Results[1].Outcome = -1 }, "outcome -1"},
		"NegativeTime":    {func(m *message) { m.Results[1].TookMicroseconds = -1 }, "time"},
		"HugeTime":        {func(m *message) { m.Results[1].TookMicroseconds = math.MaxInt64 }, "time"},
		"HugeRetry":       {func(m *message) { m.Results[1].RetryMilliseconds = math.MaxInt64 }, "retry"},
		"ManyResults": {func(m *message) {
			for range maxResults {
				m.Results = append(m.Results, result())
			}
		}, "results"},
		"ManyRenewals": {func(m *message) {
			m.Renewals = []*snipeproto.AdmissionRenewal{{Service: plainService, Permits: make([]uint64, 3*maxResults)}}
		}, "renewals"},
		"RenewalOfNone": {func(m *message) { m.Renewals = []*snipeproto.AdmissionRenewal{{}} }, "service"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newAdmissionNetwork(1, 4)
				server := &admissionServer{lender: w.instances[0].Lender}
				granted, err := server.Acquire(t.Context(), goodAcquire())
				must.NoError(t, err)
				m := &message{Version: admissionVersion, Instance: senderAddress, Results: []*snipeproto.AdmissionResult{
					{Service: plainService, Permit: granted.GetPermit()}, result(),
				}}
				tt.change(m)
				_, err = server.Release(t.Context(), m)
				must.StrContains(t, err.Error(), tt.want)
				out, _ := w.instances[0].Lender.stats()
				must.Eq(t, 1, out)
			})
		})
	}
}

// TestWrongLoad guards against a permit that is not given back because its result has a load report
// that makes no sense.
func TestWrongLoad(t *testing.T) {
	tests := map[string]*snipeproto.AdmissionLoad{
		"Negative": {Running: -1}, "Huge": {Slots: math.MaxInt32}, "NaN": {Pace: math.NaN()}, "Infinite": {Pace: math.Inf(1)},
		"NegativePace": {Pace: -1}, "Future": {AgeMilliseconds: -1}, "Ancient": {AgeMilliseconds: math.MaxInt64},
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := decodeResult(&snipeproto.AdmissionResult{Service: plainService, Load: load})
			must.NoError(t, err)
			must.Nil(t, r.Load)
		})
	}
}

// TestWrongPermit guards against permits without an upstream or with a lifetime that makes no sense,
// and against a negative retry time.
func TestWrongPermit(t *testing.T) {
	for name, m := range map[string]*snipeproto.AdmissionAcquireResponse{
		"Empty": {}, "NoLifetime": {Upstream: "p1"}, "Negative": {Upstream: "p1", LifetimeMilliseconds: -5},
		"Huge": {Upstream: "p1", LifetimeMilliseconds: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeAcquire(m)
			must.ErrorIs(t, err, errMessage)
		})
	}
	var refused *snipeadmission.RefusedError
	_, err := decodeAcquire(&snipeproto.AdmissionAcquireResponse{Refused: true, Reason: 77, RetryMilliseconds: -9})
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 0, refused.RetryAfter)
	must.Eq(t, "unknown", refused.Reason.String())
}

// TestLongNames guards against a message that its receiver refuses because of a long workspace or
// upstream, which would count as the loss of the coordinator.
func TestLongNames(t *testing.T) {
	long := strings.Repeat("ä", maxName)
	now := time.Now()
	m := encodeAcquire(plainService, snipeadmission.Request{
		Instance: senderAddress, Workspace: "x" + long, Priority: -4, Deadline: now.Add(-time.Second),
		Target: now.Add(-time.Second), Excluded: []string{"", long, "p1"},
	}, now)
	data, err := proto.Marshal(m)
	must.NoError(t, err)
	must.NoError(t, proto.Unmarshal(data, m))
	r, err := decodeAcquireRequest(m, now)
	must.NoError(t, err)
	must.Eq(t, []string{"p1"}, r.Excluded)
	must.Eq(t, now.Add(-time.Second), r.Target)
	must.Eq(t, now, r.Deadline)
}

// TestExtremesAccepted guards against messages that their receiver refuses because of figures of a
// caller or the catalog, which would keep a permit or count as the loss of the coordinator.
func TestExtremesAccepted(t *testing.T) {
	now, far := time.Now(), 100*time.Hour
	for _, tokens := range []float64{-2, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64} {
		for _, d := range []time.Duration{-far, 0, far, math.MaxInt64} {
			r := snipeadmission.Request{Instance: senderAddress, Tokens: tokens, Arrived: now.Add(-d), Target: now.Add(d), Deadline: now.Add(d)}
			_, err := decodeAcquireRequest(encodeAcquire(plainService, r, now), now)
			must.NoError(t, err, must.Sprint(tokens, d))
			_, err = decodeResult(encodeResult(plainService, 1, snipeadmission.Result{Took: d, RetryAfter: d}))
			must.NoError(t, err, must.Sprint(d))
		}
	}
}

// FuzzAdmission guards against messages that cause a panic, are taken over with figures out of range,
// or change when they are encoded again.
func FuzzAdmission(f *testing.F) {
	seeds := []proto.Message{
		goodAcquire(),
		&snipeproto.AdmissionReleaseRequest{Version: admissionVersion, Instance: senderAddress, Results: []*snipeproto.AdmissionResult{
			{Service: plainService, Permit: 3, Outcome: 4, TookMicroseconds: 9, Load: &snipeproto.AdmissionLoad{Running: 2, Slots: 6, Pace: 1.2}},
		}, Renewals: []*snipeproto.AdmissionRenewal{{Service: plainService, Permits: []uint64{1, 2}}}},
		&snipeproto.AdmissionAcquireResponse{Permit: 1, Upstream: "p1", LifetimeMilliseconds: 1000},
	}
	for _, m := range seeds {
		data, err := proto.Marshal(m)
		must.NoError(f, err)
		f.Add(data)
	}
	meter := snipemeter.New()
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Now()
		acquire := &snipeproto.AdmissionAcquireRequest{}
		if proto.Unmarshal(data, acquire) == nil {
			if r, err := decodeAcquireRequest(acquire, now); err == nil {
				must.Between(t, 0, r.Deadline.Sub(now), maxMessageTime)
				must.LessEq(t, maxExcluded, len(r.Excluded))
				again, err := decodeAcquireRequest(encodeAcquire(acquire.GetService(), r, now), now)
				must.NoError(t, err)
				must.Eq(t, r, again)
			}
		}
		release := &snipeproto.AdmissionReleaseRequest{}
		if proto.Unmarshal(data, release) == nil {
			_, err := (&admissionServer{lender: &lender{Meter: meter}}).Release(t.Context(), release)
			if err == nil {
				must.LessEq(t, maxResults, len(release.GetResults()))
			}
		}
		answer := &snipeproto.AdmissionAcquireResponse{}
		if proto.Unmarshal(data, answer) == nil {
			if p, err := decodeAcquire(answer); err == nil {
				must.Between(t, 1, p.Lifetime, maxPermitLifetime)
				must.NotEq(t, "", p.Upstream)
			}
		}
	})
}
