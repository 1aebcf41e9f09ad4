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

// CutMode is what a cutter does with a link.
type CutMode string

// The modes of a link.
const (
	// CutNone passes everything on.
	CutNone CutMode = "none"
	// CutBoth holds back all bytes; connections stay open and new ones are
	// taken. What is held back goes on when the link is mended.
	CutBoth CutMode = "both"
	// CutForward holds back what the dialling side sends, CutBack what it
	// should receive.
	CutForward CutMode = "forward"
	CutBack    CutMode = "back"
	// CutStale makes the connections that are open now silent for good, while
	// new ones work.
	CutStale CutMode = "stale"
	// CutRefuse closes all connections and refuses new ones.
	CutRefuse CutMode = "refuse"
)

// ErrBadCut is returned for an unknown link or mode.
var ErrBadCut = errors.New("bad cut")

const (
	cutterBuffer = 32 << 10
	cutterDial   = 5 * time.Second
)

// Link is one TCP listener of a cutter and where its connections lead.
type Link struct {
	Listen, Target netip.AddrPort
}

// Cutter stands between parties and cuts their connections. Exported fields
// are set before Run.
type Cutter struct {
	Links []Link

	lock  sync.Mutex // guards the fields of the links' states
	state map[netip.AddrPort]*linkState
}

// linkState is the state of one link.
type linkState struct {
	link    Link
	mode    CutMode
	changed chan struct{}
	open    map[*cutConnection]bool
}

// cutConnection is one connection through the cutter.
type cutConnection struct {
	client, server net.Conn
	stale          bool
}

func (c *cutConnection) close() {
	// Closing twice does no harm.
	_ = c.client.Close()
	_ = c.server.Close()
}

// Listen opens all links and serves them in the background. A port 0 is
// replaced by the one that the system chose.
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
		go c.accept(listener, s)
	}
	return nil
}

// Handler returns the cutter's own route, POST /Cut.
func (c *Cutter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Cut", func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			Link netip.AddrPort
			Mode CutMode
		}
		if !readJSON(w, r, &order) {
			return
		}
		if err := c.Cut(order.Link, order.Mode); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// Cut sets the mode of the link that listens at an address.
func (c *Cutter) Cut(listen netip.AddrPort, mode CutMode) error {
	s, ok := c.state[listen]
	if !ok {
		return errors.Wrapf(ErrBadCut, "link %s", listen)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	switch mode {
	case CutNone, CutBoth, CutForward, CutBack:
		s.mode = mode
	case CutStale:
		for k := range s.open {
			k.stale = true
		}
	case CutRefuse:
		s.mode = mode
		for k := range s.open {
			k.close()
		}
	default:
		return errors.Wrapf(ErrBadCut, "mode %q", mode)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (c *Cutter) accept(l *net.TCPListener, s *linkState) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go c.connect(client, s)
	}
}

func (c *Cutter) connect(client net.Conn, s *linkState) {
	c.lock.Lock()
	refused := s.mode == CutRefuse
	c.lock.Unlock()
	if refused {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", s.link.Target.String(), cutterDial)
	if err != nil {
		_ = client.Close()
		return
	}
	k := &cutConnection{client: client, server: server}
	c.lock.Lock()
	s.open[k] = true
	c.lock.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pass(s, k, client, server, CutForward) })
	both.Go(func() { c.pass(s, k, server, client, CutBack) })
	both.Wait()
	c.lock.Lock()
	delete(s.open, k)
	c.lock.Unlock()
}

// pass copies one direction until either side ends.
func (c *Cutter) pass(s *linkState, k *cutConnection, from io.Reader, to io.Writer, direction CutMode) {
	buffer := make([]byte, cutterBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && c.gate(s, k, direction) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			// The end of a connection is held back as its bytes are.
			if !c.gate(s, k, direction) {
				return
			}
			break
		}
	}
	k.close()
}

// gate waits while the direction is cut. It reports false for a connection
// that is silent for good.
func (c *Cutter) gate(s *linkState, k *cutConnection, direction CutMode) bool {
	for {
		c.lock.Lock()
		mode, stale, changed := s.mode, k.stale, s.changed
		c.lock.Unlock()
		if stale {
			return false
		}
		if mode != CutBoth && mode != direction {
			return true
		}
		<-changed
	}
}
