package snipeentry

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipeproto"
)

// TestDemandOnWire guards against a request that reaches the owner as less urgent, or with more time
// left, than it is, against one of an older instance that no longer counts, and against an overflow
// of figures from another version. It answers the load of requests of three priorities with targets
// of 0.5 to 2 s.
func TestDemandOnWire(t *testing.T) {
	tests := map[string]struct {
		sent     func(r *snipeproto.AdapterEnsureRequest)
		received snipeadapter.Demand
	}{
		"Whole": {
			func(r *snipeproto.AdapterEnsureRequest) {
				encodeDemand(r, snipeadapter.Demand{
					MaxWait: time.Second, Priority: 2, Workspace: "w", Target: 2 * time.Second, Deadline: 6 * time.Second, PromptTokens: 9000,
				})
			},
			snipeadapter.Demand{MaxWait: time.Second, Priority: 2, Workspace: "w", Target: 2 * time.Second, Deadline: 6 * time.Second, PromptTokens: 9000},
		},
		"TargetPassed": {
			func(r *snipeproto.AdapterEnsureRequest) {
				encodeDemand(r, snipeadapter.Demand{MaxWait: time.Second, Target: time.Microsecond, Deadline: time.Microsecond})
			},
			snipeadapter.Demand{MaxWait: time.Second, Target: time.Millisecond, Deadline: time.Millisecond},
		},
		"OlderInstance": {
			func(r *snipeproto.AdapterEnsureRequest) { r.PatienceMilliseconds = 400 },
			snipeadapter.Demand{MaxWait: 400 * time.Millisecond},
		},
		"Nonsense": {
			func(r *snipeproto.AdapterEnsureRequest) {
				r.PatienceMilliseconds, r.Priority, r.PromptTokens = math.MaxInt64, math.MinInt32, math.MinInt64
			},
			snipeadapter.Demand{MaxWait: maxMessageTime, Priority: math.MinInt32},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &snipeproto.AdapterEnsureRequest{}
			tt.sent(r)
			b, err := proto.Marshal(r)
			must.NoError(t, err)
			received := &snipeproto.AdapterEnsureRequest{}
			must.NoError(t, proto.Unmarshal(b, received))
			must.Eq(t, tt.received, decodeDemand(received))
		})
	}
}
