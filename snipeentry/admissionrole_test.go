package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
)

// lenders returns the instances among those given that have lent permits.
func lenders(instances []*admissionInstance) []*admissionInstance {
	var all []*admissionInstance
	for _, n := range instances {
		if n.Lender.known(plainService) != nil {
			all = append(all, n)
		}
	}
	return all
}

// TestWhoCoordinates guards against a coordinator that is leaving, on standby, or has little power,
// and against a coordinator that changes when another instance ends.
func TestWhoCoordinates(t *testing.T) {
	w := newAdmissionNetwork(20, 4)
	a := w.instances[0]
	before := a.coordinators(plainService)
	must.SliceLen(t, 15, before) // member gives these the highest Power
	all := a.members
	a.drop(before[3])
	must.Eq(t, before[0], a.coordinators(plainService)[0])
	for name, change := range map[string]func(m *snipeowner.Instance){
		"Leaving": func(m *snipeowner.Instance) { m.Leaving = true },
		"Standby": func(m *snipeowner.Instance) { m.Standby = true },
		"Weak":    func(m *snipeowner.Instance) { m.Power = 0.3 },
	} {
		t.Run(name, func(t *testing.T) {
			a.members = slices.Clone(all)
			for n := range a.members {
				if a.members[n].Peer == before[0] {
					change(&a.members[n])
				}
			}
			must.Eq(t, before[1], a.coordinators(plainService)[0])
		})
	}
}

// TestAdmissionApplies guards against shared admission of services that run models, have enough
// slots, have no upstream, or whose upstreams state no pace, and against its use when it is switched
// off.
func TestAdmissionApplies(t *testing.T) {
	tests := map[string]struct {
		service string
		share   float64
		slots   int
		leaving bool
		want    bool
	}{
		"Few":         {plainService, 1, 5, false, true},
		"Enough":      {plainService, 1, 6, false, false},
		"OneLeft":     {plainService, 1, 6, true, true},
		"SmallShare":  {plainService, 0.5, 5, false, false},
		"Off":         {plainService, 0, 1, false, false},
		"NotPlain":    {"engines", 1, 1, false, false},
		"LongName":    {strings.Repeat("x", maxName+1), 1, 1, false, false},
		"NotDeclared": {"", 1, 1, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newAdmissionNetwork(12, tt.slots)
			if tt.leaving {
				w.leave("p1")
			}
			a := w.instances[0]
			a.Share = tt.share
			must.Eq(t, tt.want, a.applies(tt.service))
		})
	}
	w := newAdmissionNetwork(12, 1)
	must.True(t, w.instances[0].applies(plainService))
	w.instances[0].Paced = func(string) bool { return false }
	must.False(t, w.instances[0].applies(plainService), must.Sprint("no upstream states a pace"))
	w = newAdmissionNetwork(12, 1)
	w.leave("p1")
	w.leave("p2")
	must.False(t, w.instances[0].applies(plainService), must.Sprint("no upstream is left"))
}

// TestDeclinedByUnready guards against refusals by a coordinator that does not know the upstreams
// of the service yet: the next instance is asked.
func TestDeclinedByUnready(t *testing.T) {
	inNetwork(t, 3, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		order[0].Lender.Upstreams = func(string) []*snipedirectory.Upstream { return nil }
		p, err := order[2].run(t.Context(), 0)
		must.NoError(t, err)
		must.Eq(t, order[2].name(order[1].Self), p.Coordinator)
		must.Eq(t, 0, order[2].count("CoordinatorLost"))
	})
}

// failingClient answers each request for a permit with an error.
type failingClient struct {
	snipeproto.Admission
	err error
}

// Acquire implements snipeproto.Admission.
func (c failingClient) Acquire(context.Context, *snipeproto.AdmissionAcquireRequest) (*snipeproto.AdmissionAcquireResponse, error) {
	return nil, c.err
}

// TestOtherVersions guards against instances of another version that count as lost coordinators, so
// that requests are paced although an instance of this version could coordinate. Earlier versions
// do not know the service, later ones may refuse the message.
func TestOtherVersions(t *testing.T) {
	for _, code := range []twirp.ErrorCode{twirp.BadRoute, twirp.InvalidArgument} {
		t.Run(string(code), func(t *testing.T) {
			inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
				caller, reach := order[3], order[3].Client
				caller.Client = func(to netip.AddrPort) snipeproto.Admission {
					if to == order[2].Self {
						return reach(to)
					}
					return failingClient{err: twirp.NewError(code, "other version")}
				}
				p, err := caller.run(t.Context(), 0)
				must.NoError(t, err)
				must.Eq(t, caller.name(order[2].Self), p.Coordinator)
				must.Eq(t, 0, caller.count("CoordinatorLost"))
			})
		})
	}
}

// TestForgetService guards against state of services that are no longer declared.
func TestForgetService(t *testing.T) {
	inNetwork(t, 1, 4, func(t *testing.T, w *admissionNetwork, _ []*admissionInstance) {
		n := w.instances[0]
		_, err := n.run(t.Context(), 0)
		must.NoError(t, err)
		must.NotNil(t, n.Lender.known(plainService))
		none := func(string) bool { return false }
		n.Plain, n.Lender.Plain = none, none
		n.forget()
		n.Lender.forget(n.view().Live)
		must.Nil(t, n.Lender.known(plainService))
		must.MapEmpty(t, n.services)
	})
}
