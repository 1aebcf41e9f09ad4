package snipestand

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// CutMode is how a cutter treats the traffic of a link.
type CutMode string

// The modes of a link.
const (
	// CutNone forwards everything.
	CutNone CutMode = "none"
	// CutBoth holds back the bytes of both directions. Connections stay open and new ones are
	// accepted. The cutter forwards the held bytes once the mode no longer cuts their direction.
	CutBoth CutMode = "both"
	// CutForward holds back the bytes that the dialing side sends, CutBack the bytes sent to it.
	CutForward CutMode = "forward"
	CutBack    CutMode = "back"
	// CutStale makes the connections that are open now silent permanently, while new
	// connections work. The mode of the link stays as it was.
	CutStale CutMode = "stale"
	// CutRefuse closes all connections and new ones as soon as they are accepted.
	CutRefuse CutMode = "refuse"
	// CutSilent drops all packets of open connections and new ones, so that the dialing side's kernel gets no
	// acknowledgement and may end its connections. When the mode ends, connections that are still open on this side send
	// again only after half of the time for which they were silent, as TCP does.
	CutSilent CutMode = "silent"
	// CutDown closes the listener and all connections, as the end of the process at the target does.
	CutDown CutMode = "down"
)

// ErrBadCut reports an unknown link or mode.
var ErrBadCut = errors.New("bad cut")

const (
	cutterBufferSize  = 32 << 10
	cutterDialTimeout = 5 * time.Second
)

// Link is one TCP listener of a cutter and the address that its connections are forwarded to.
type Link struct {
	Listen, Target netip.AddrPort
}

// Cutter is a TCP proxy that interrupts connections on request. Exported fields must be set before
// Listen is called.
type Cutter struct {
	Links []Link

	lock  sync.Mutex // guards the fields of each linkState
	state map[netip.AddrPort]*linkState
}

// linkState is the state of one link.
type linkState struct {
	link     Link
	listener net.Listener // closed if the mode is CutDown
	silence  Silence
	// silentSince is when the mode became CutSilent.
	silentSince time.Time
	mode        CutMode
	changed     chan struct{} // closed and replaced at each change of mode or staleness
	open        map[*cutConnection]bool
}

// cutConnection is one connection through the cutter. A stale one no longer forwards anything, and nothing is forwarded
// before quietUntil.
type cutConnection struct {
	client, server net.Conn
	stale          bool
	quietUntil     time.Time
}

func (c *cutConnection) close() {
	// A second Close returns an error that has no effect.
	_ = c.client.Close()
	_ = c.server.Close()
}

// Listen opens all links and serves them in the background. It replaces a port of 0 in Links by
// the port that the system has chosen.
func (c *Cutter) Listen() error {
	c.state = map[netip.AddrPort]*linkState{}
	for n, l := range c.Links {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.Listen))
		if err != nil {
			return errors.Wrapf(err, "link %s", l.Listen)
		}
		l.Listen = listener.Addr().(*net.TCPAddr).AddrPort()
		c.Links[n] = l
		s := &linkState{link: l, mode: CutNone, changed: make(chan struct{}), open: map[*cutConnection]bool{}}
		c.state[l.Listen] = s
		if err := c.serve(listener, s); err != nil {
			return err
		}
	}
	return nil
}

// serve accepts the connections of a link in the background.
func (c *Cutter) serve(l *net.TCPListener, s *linkState) error {
	listener, err := s.silence.Listener(l)
	if err != nil {
		return errors.Wrapf(err, "link %s", s.link.Listen)
	}
	s.listener = listener
	go c.accept(listener, s)
	return nil
}

// Handler returns the cutter's control route, POST /Cut.
func (c *Cutter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Cut", func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			Link netip.AddrPort
			Mode CutMode
		}
		if !readJSON(w, r, &request) {
			return
		}
		if err := c.Cut(request.Link, request.Mode); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// Cut sets the mode of the link that listens at an address. It returns ErrBadCut for an unknown
// link or mode.
func (c *Cutter) Cut(listen netip.AddrPort, mode CutMode) error {
	s, ok := c.state[listen]
	if !ok {
		return errors.Wrapf(ErrBadCut, "link %s", listen)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if err := c.setMode(s, mode); err != nil {
		return err
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// setMode is Cut for a known link. The lock is held.
func (c *Cutter) setMode(s *linkState, mode CutMode) error {
	if mode == CutStale {
		for k := range s.open {
			k.stale = true
		}
		return nil
	}
	if s.mode == CutDown && mode != CutDown {
		if err := c.listenAgain(s); err != nil {
			return err
		}
	}
	s.setSilent(mode == CutSilent)
	switch mode {
	case CutNone, CutBoth, CutForward, CutBack, CutSilent:
	case CutDown:
		_ = s.listener.Close()
		s.closeAll()
	case CutRefuse:
		s.closeAll()
	default:
		return errors.Wrapf(ErrBadCut, "mode %q", mode)
	}
	s.mode = mode
	return nil
}

// setSilent begins or ends a silence. The lock is held.
func (s *linkState) setSilent(on bool) {
	if on == (s.mode == CutSilent) {
		return
	}
	s.silence.Set(on)
	if on {
		s.silentSince = time.Now()
		return
	}
	now := time.Now()
	for k := range s.open {
		k.quietUntil = now.Add(now.Sub(s.silentSince) / 2)
	}
}

// closeAll closes all connections of a link. The lock is held.
func (s *linkState) closeAll() {
	for k := range s.open {
		k.close()
	}
}

// listenAgain opens the listener of a link that was down. The lock is held.
func (c *Cutter) listenAgain(s *linkState) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.link.Listen))
	if err != nil {
		return errors.Wrapf(err, "link %s", s.link.Listen)
	}
	return c.serve(listener, s)
}

// accept serves the connections of a link until its listener is closed.
func (c *Cutter) accept(l net.Listener, s *linkState) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go c.connect(client, s)
	}
}

// connect forwards one connection to the target of its link until either side ends.
func (c *Cutter) connect(client net.Conn, s *linkState) {
	c.lock.Lock()
	refused := s.mode == CutRefuse
	c.lock.Unlock()
	if refused {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", s.link.Target.String(), cutterDialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	k := &cutConnection{client: client, server: server}
	c.lock.Lock()
	s.open[k] = true
	c.lock.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { c.forward(s, k, client, server, CutForward) })
	copies.Go(func() { c.forward(s, k, server, client, CutBack) })
	copies.Wait()
	c.lock.Lock()
	delete(s.open, k)
	c.lock.Unlock()
}

// forward copies the bytes of one direction until either side ends.
func (c *Cutter) forward(s *linkState, k *cutConnection, from io.Reader, to io.Writer, direction CutMode) {
	buffer := make([]byte, cutterBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && c.waitUncut(s, k, direction) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			// A cut holds back the end of a connection in the same way as its bytes.
			if !c.waitUncut(s, k, direction) {
				return
			}
			break
		}
	}
	k.close()
}

// waitUncut blocks while the direction is cut. It reports false for a connection that has become
// stale: such a connection stays silent.
func (c *Cutter) waitUncut(s *linkState, k *cutConnection, direction CutMode) bool {
	for {
		c.lock.Lock()
		mode, stale, quiet, changed := s.mode, k.stale, time.Until(k.quietUntil), s.changed
		c.lock.Unlock()
		switch {
		case stale:
			return false
		case mode == CutBoth, mode == CutSilent, mode == direction:
			<-changed
		case quiet > 0:
			time.Sleep(quiet)
		default:
			return true
		}
	}
}
