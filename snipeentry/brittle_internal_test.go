package snipeentry

import (
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeproto"
)

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
			must.Eq(t, tt.want, len(decodeBrittle([]*snipeproto.BrittleService{tt.m}, nil)) == 1)
		})
	}
}

// TestWrongBrittleEnd guards against ends of brittleness that are taken from messages without sense.
func TestWrongBrittleEnd(t *testing.T) {
	tests := map[string]struct {
		m    *snipeproto.BrittleEnd
		want bool
	}{
		"Valid":     {&snipeproto.BrittleEnd{Service: "s", AgeMilliseconds: 20}, true},
		"NoService": {&snipeproto.BrittleEnd{AgeMilliseconds: 20}, false},
		"Future":    {&snipeproto.BrittleEnd{Service: "s", AgeMilliseconds: -1}, false},
		"Nil":       {nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tt.want, len(decodeBrittle(nil, []*snipeproto.BrittleEnd{tt.m})) == 1)
		})
	}
}

// TestWrongAccount guards against accounts of permits that make no sense, which would free places that are in use or
// take such that are free.
func TestWrongAccount(t *testing.T) {
	tests := map[string]struct {
		m                *snipeproto.AdmissionAccount
		permits, outside int
	}{
		"Valid": {&snipeproto.AdmissionAccount{
			Permits: []*snipeproto.AdmissionHeldPermit{{Permit: 1, Upstream: "u", LeftMilliseconds: 20}},
			Outside: []*snipeproto.AdmissionCount{{Upstream: "u", Requests: 2}},
		}, 1, 1},
		"NoUpstream": {&snipeproto.AdmissionAccount{
			Permits: []*snipeproto.AdmissionHeldPermit{{Permit: 1, LeftMilliseconds: 20}}, Outside: []*snipeproto.AdmissionCount{{Requests: 1}},
		}, 0, 0},
		"OutOfRange": {&snipeproto.AdmissionAccount{
			Permits: []*snipeproto.AdmissionHeldPermit{{Permit: 1, Upstream: "u", LeftMilliseconds: 1 << 40}},
			Outside: []*snipeproto.AdmissionCount{{Upstream: "u", Requests: 1 << 30}},
		}, 0, 0},
		"Negative": {&snipeproto.AdmissionAccount{Outside: []*snipeproto.AdmissionCount{{Upstream: "u", Requests: -1}}}, 0, 0},
		"Nil":      {nil, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := decodeAccount(&snipeproto.AdmissionAccountResponse{UptimeMilliseconds: -5}, tt.m)
			must.Len(t, tt.permits, a.Permits)
			must.MapLen(t, tt.outside, a.Outside)
			must.Zero(t, a.Uptime)
		})
	}
}
