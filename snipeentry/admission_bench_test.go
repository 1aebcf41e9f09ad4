package snipeentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeproto"
)

// BenchmarkPermit measures the processor time of one request with a permit over a real connection,
// of both instances together: the message for the permit and the one that gives it back.
func BenchmarkPermit(b *testing.B) {
	w := newAdmissionNetwork(2, 6)
	order := w.ranked()
	first, caller := order[0], order[1]
	first.Lender.Log = snipelog.Discard()
	server := httptest.NewServer(snipeproto.NewAdmissionServer(&admissionServer{lender: first.Lender}))
	defer server.Close()
	meter := snipemeter.New()
	client := &http.Client{Transport: peerTransport(meter)}
	made := snipeproto.NewAdmissionProtobufClient(server.URL, client)
	caller.Client = func(netip.AddrPort) snipeproto.Admission { return made }
	begun := processorTime(b)
	for b.Loop() {
		now := time.Now()
		p, err := caller.acquire(context.Background(), plainService, snipeadmission.Request{
			Workspace: "north", Priority: 3, Tokens: 100, Target: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		})
		must.NoError(b, err)
		p.Release(snipeadmission.Result{Took: 20 * time.Millisecond, Load: &snipeadmission.Load{Running: 1, Slots: 6, Pace: 1}})
	}
	b.ReportMetric(float64(processorTime(b)-begun)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
