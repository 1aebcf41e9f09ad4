package snipeentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipepressure"
	"snipepitch.example/snipepitch/snipeproto"
)

// The names of the listeners for callers and for other instances in settings and logs.
const (
	callersName = "Callers"
	peersName   = "Peers"
)

const (
	// headerTimeout bounds the time to receive a request's header. Callers need well under three
	// seconds.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may wait for its next request. It must exceed the time
	// after which callers still reuse a connection: up to four fifths of the idle timeout that
	// operators declare, which is 15 s.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header, above the limit of 16 KiB that operators declare.
	maxHeaderBytes = 32 << 10
	// maxPeerHeaderBytes bounds the header of a request that another instance passes on. It holds that of
	// the caller, and the request's target once more.
	maxPeerHeaderBytes = 3 * maxHeaderBytes
)

// listen opens the four listeners and adds their servers to g. It returns the servers whose
// requests a planned stop waits for, in the order of their shutdown: the callers' server, then the
// server for other instances.
func (i *Instance) listen(ctx context.Context, g *run.Group) ([]*drainingServer, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+i.Platform.ReadyPath, i.serveReady)
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { i.meter.Write(w) })
	listeners := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{callersName, i.Settings.Callers, i.gateway},
		{peersName, i.Settings.Peers, i.peerHandler()},
		{"Ready", i.Settings.Ready, ready},
		{"Metrics", i.Settings.Metrics, metrics},
	}
	var servers []*drainingServer
	for _, l := range listeners {
		s := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: i.Log.ServerErrors(l.name), ConnContext: snipegateway.WithConnection,
		}
		listener, err := i.open(ctx, l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen %s", l.name)
		}
		switch l.name {
		case callersName:
			d := i.callersServer(s, listener)
			servers = append(servers, d)
			i.addServer(g, s, d.serve)
		case peersName:
			d := i.peersServer(s, listener)
			servers = append(servers, d)
			i.addServer(g, s, d.serve)
		default:
			i.addServer(g, s, func() error { return s.Serve(listener) })
		}
	}
	return servers, nil
}

// callersServer returns the server for callers, whose connections and heads of requests are bounded.
func (i *Instance) callersServer(s *http.Server, l net.Listener) *drainingServer {
	heads := &headLimit{
		budget: &snipepressure.Budget{Bound: i.Settings.headsBound()}, answer: i.connections.answerRefusal, refused: i.headRefused,
	}
	d := newDrainingServer(callersName, s, heads.listener(i.connections.listener(l)), i.callers)
	s.ConnState = trackHeads(s.ConnState)
	return d
}

// peersServer returns the server for other instances.
func (i *Instance) peersServer(s *http.Server, l net.Listener) *drainingServer {
	s.MaxHeaderBytes = maxPeerHeaderBytes
	s.Handler = i.closeWhenStopping(s.Handler)
	return newDrainingServer(peersName, s, l, &snipeconn.Tracker{Closed: i.connectionClosed(peersName), HeadTime: headerTimeout})
}

// peerHandler returns the handler for requests of other instances.
func (i *Instance) peerHandler() http.Handler {
	adapters := snipeproto.NewAdapterServer(&peerServer{
		controller: i.controller, ensure: i.ensureForPeer, replicas: i.gateway.Chooser.Replicas, board: i.board, balancer: i.balancer, signals: i.signals, brittle: i.brittle,
		ignoredWork: i.countIgnoredWork,
	})
	mirrors := snipeproto.NewMirrorServer(&mirrorServer{mirrors: i.mirrors()})
	owners := snipeproto.NewOwnershipServer(&ownershipServer{i.holder, i.relay})
	quotas := snipeproto.NewQuotaServer(&quotaServer{i.issuer})
	permits := snipeproto.NewAdmissionServer(&admissionServer{lender: i.lender, account: i.answerAccount, limits: i.issueLimits})
	crashes := snipeproto.NewCrashServer(&crashServer{i})
	streams := snipeproto.NewStreamServer(&streamServer{i.streams})
	m := http.NewServeMux()
	m.Handle(streams.PathPrefix(), streams)
	m.Handle(crashes.PathPrefix(), crashes)
	m.Handle(permits.PathPrefix(), permits)
	m.Handle(quotas.PathPrefix(), quotas)
	m.Handle(owners.PathPrefix(), owners)
	m.Handle(adapters.PathPrefix(), adapters)
	m.Handle(mirrors.PathPrefix(), mirrors)
	all := http.NewServeMux()
	all.Handle("/", http.MaxBytesHandler(m, maxPeerMessage))
	all.HandleFunc("POST "+snipegateway.HopPath, i.gateway.ServeHop) // bounded as callers' requests are
	return all
}

// closeWhenStopping adds "Connection: close" to answers once a stop has begun, so that other instances leave early.
func (i *Instance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.stopState.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// open opens a listener with Listen, or a TCP listener if Listen is nil.
func (i *Instance) open(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	if i.Listen != nil {
		return i.Listen(ctx, address)
	}
	var config net.ListenConfig
	if size := i.Settings.socketBuffer(); size > 0 && address == i.Settings.Callers {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			if err := raw.Control(func(fd uintptr) { optionErr = snipelink.SetBuffers(int(fd), size) }); err != nil {
				return err
			}
			return optionErr
		}
	}
	return config.Listen(ctx, "tcp", address.String())
}

// addServer adds a server to g as a task, which runs serve. The end of any task ends the group, so the task of a server
// that a planned stop has drained blocks until the group ends. If the server fails, the task logs
// the error and the group ends with it.
func (i *Instance) addServer(g *run.Group, s *http.Server, serve func() error) {
	done := make(chan struct{})
	g.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) || i.stopState.stopping() && errors.Is(err, net.ErrClosed) {
			<-done
			return nil
		}
		i.Log.Error(snipelog.ListenerFailed, err, nil)
		return err
	}, func(error) {
		close(done)
		_ = s.Close()
	})
}

// serveReady answers the readiness checks of the load balancer in front of the instances: status
// 200 if callers may be sent to this instance, 503 otherwise.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
