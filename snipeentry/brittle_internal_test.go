package snipeentry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// TestOwnShares guards against instances that together send a brittle upstream more than it has slots for while none
// of them reaches a coordinator, and against slots that nobody may use.
func TestOwnShares(t *testing.T) {
	for name, tt := range map[string]struct{ instances, slots int }{
		"One":   {1, 4},
		"Seven": {7, 6},
		"Even":  {6, 64},
		"Many":  {66, 24},
		"Most":  {340, 64},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAdmissionNetwork(tt.instances, tt.slots)
			u := &snipedirectory.Upstream{ID: "p1", Slots: tt.slots}
			sum := 0
			for _, i := range w.instances {
				sum += i.ownShare(u)
			}
			if tt.instances >= minSharingInstances {
				must.Eq(t, tt.slots, sum)
			}
			must.LessEq(t, tt.slots, sum)
		})
	}
}

// TestShareAlone guards against an instance that exceeds its own share, and against a request that is refused
// without a time to return.
func TestShareAlone(t *testing.T) {
	w := newAdmissionNetwork(1, minSharingInstances)
	a := w.instances[0].admission
	var held []func(snipeadmission.Result)
	for range 2 {
		p, err := a.shareAlone(plainService, snipeadmission.Request{})
		must.NoError(t, err)
		held = append(held, p.Release)
	}
	_, err := a.shareAlone(plainService, snipeadmission.Request{})
	must.ErrorIs(t, err, snipeadmission.ErrRefused)
	held[0](snipeadmission.Result{})
	_, err = a.shareAlone(plainService, snipeadmission.Request{})
	must.NoError(t, err)
}

// TestUnpermittedReported guards against a coordinator that does not know of requests which were sent without a
// permit of it, and against one that still counts them when they have ended.
func TestUnpermittedReported(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newAdmissionNetwork(20, 4)
		a := w.instances[0].admission
		brittle := &snipesignal.BrittleTracker{}
		brittle.Merge([]snipesignal.BrittleUpdate{{Service: plainService, MaxRefusals: 3}})
		inFlight := map[string]int{"p1": 3}
		a.Brittle, a.InFlight = brittle, func() map[string]int { return inFlight }
		a.Engine = func(id string) *snipedirectory.Upstream {
			n := slices.IndexFunc(w.upstreams, func(u *snipedirectory.Upstream) bool { return u.ID == id })
			return w.upstreams[n]
		}
		lender := w.at(a.coordinators(plainService)[0]).Lender
		lender.Brittle = brittle
		free := func() int {
			n := 0
			for ; ; n++ {
				_, err := lender.acquire(t.Context(), plainService, snipeadmission.Request{Instance: "x", NoWait: true, Deadline: time.Now().Add(time.Second)})
				if err != nil {
					lender.coordinator(plainService).DropInstance("x")
					return n
				}
			}
		}
		free()
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 8, free())
		a.reportUnpermitted(t.Context())
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 5, free())
		clear(inFlight)
		a.reportUnpermitted(t.Context())
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 8, free())
	})
}

// TestWrongBrittle guards against brittle services that are taken from messages without sense.
func TestWrongBrittle(t *testing.T) {
	tests := map[string]struct {
		m    *snipeproto.BrittleService
		want bool
	}{
		"Valid":     {&snipeproto.BrittleService{Service: "s", MaxRefusals: 3, AgeMilliseconds: 20}, true},
		"NoService": {&snipeproto.BrittleService{MaxRefusals: 3}, false},
		"Negative":  {&snipeproto.BrittleService{Service: "s", MaxRefusals: -1}, false},
		"Huge":      {&snipeproto.BrittleService{Service: "s", MaxRefusals: 1 << 40}, false},
		"Future":    {&snipeproto.BrittleService{Service: "s", AgeMilliseconds: -1}, false},
		"Nil":       {nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tt.want, len(decodeBrittle([]*snipeproto.BrittleService{tt.m})) == 1)
		})
	}
}

// TestWrongCounts guards against reports of requests without permits that make no sense.
func TestWrongCounts(t *testing.T) {
	tests := map[string]*snipeproto.AdmissionUnpermitted{
		"NoService":  {Counts: []*snipeproto.AdmissionCount{{Upstream: "u", Requests: 1}}},
		"NoUpstream": {Service: "s", Counts: []*snipeproto.AdmissionCount{{Requests: 1}}},
		"Negative":   {Service: "s", Counts: []*snipeproto.AdmissionCount{{Upstream: "u", Requests: -1}}},
		"Many":       {Service: "s", Counts: make([]*snipeproto.AdmissionCount, maxResults+1)},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := decodeRelease(&snipeproto.AdmissionReleaseRequest{
				Version: admissionVersion, Instance: netip.MustParseAddrPort("10.0.0.1:1").String(), Unpermitted: []*snipeproto.AdmissionUnpermitted{m},
			})
			must.ErrorIs(t, err, errMessage)
		})
	}
}
