package snipeentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipeanswer"
	"snipepitch.example/snipepitch/snipebound"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// maxPeerMessage bounds a message of another instance, and the answer to one, in bytes. The largest are reports of
	// use by thousands of adapters, of some hundred KB, and writes that are passed on to the store, of 1 MB.
	maxPeerMessage = 2 << 20
	// maxMirrorAnswer bounds the rows of a table that another instance sends, in bytes. They are compressed from
	// minPackedRows rows on.
	maxMirrorAnswer = 16 << 20
)

// newPeers returns peers whose clients share the connections of a transport.
func newPeers(t http.RoundTripper) *peers {
	h := &http.Client{Transport: &snipebound.Transport{RoundTripper: t, Bound: maxPeerMessage}}
	mirrors := &http.Client{Transport: &snipebound.Transport{RoundTripper: t, Bound: maxMirrorAnswer}}
	return &peers{
		adapters: clients[snipeproto.Adapter]{Make: snipeproto.NewAdapterProtobufClient, HTTP: h},
		mirrors:  clients[snipeproto.Mirror]{Make: snipeproto.NewMirrorProtobufClient, HTTP: mirrors},
		owners:   clients[snipeproto.Ownership]{Make: snipeproto.NewOwnershipProtobufClient, HTTP: h},
		quotas:   clients[snipeproto.Quota]{Make: snipeproto.NewQuotaProtobufClient, HTTP: h},
		permits:  clients[snipeproto.Admission]{Make: snipeproto.NewAdmissionProtobufClient, HTTP: h},
		crashes:  clients[snipeproto.Crash]{Make: snipeproto.NewCrashProtobufClient, HTTP: h},
		streams:  clients[snipeproto.Stream]{Make: snipeproto.NewStreamProtobufClient, HTTP: h},
	}
}

// peerTransport returns the transport of requests to other instances, which counts calls and traffic.
func peerTransport(m *snipemeter.Meter) http.RoundTripper {
	dial := snipelink.Dialer()
	return &countedTransport{meter: m, RoundTripper: &snipeanswer.Transport{RoundTripper: &http.Transport{
		DialContext: snipeanswer.Dial(m.Traffic("peers").Dialer(func(ctx context.Context, _, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, to)
		})),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: snipebound.HeaderBytes,
	}}}
}
