package snipegateway

import (
	"net/http"
	"strconv"
	"time"

	"snipepitch.example/snipepitch/snipeerror"
)

// maxServedHops bounds the hops that are served at the same time: an instance keeps room for its own callers.
const maxServedHops = 1024

// ServeHop makes one attempt for a request that another instance passes on. It ends with the first upstream
// that has received the request, and never passes the request on itself.
func (g *Gateway) ServeHop(w http.ResponseWriter, r *http.Request) {
	var message hopRequest
	err := decodeHop(r.Header, &message)
	if err == nil {
		err = message.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	w.Header().Set(hopIDHeader, r.Header.Get(hopIDHeader))
	c := &call{gateway: g, writer: w, request: message.request(r), arrived: time.Now().Add(-message.elapsed()), hop: &message}
	defer g.Hops.served.Add(-1)
	if g.Hops.served.Add(1) > maxServedHops || g.Stop.Begun() {
		refusal := snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "this instance serves no hops now")
		c.ID, c.declined = r.Header.Get(hopIDHeader), true
		c.writeError(refusal)
		c.recordEnd(refusal)
		return
	}
	c.run()
}

// request returns the caller's request that r passes on.
func (h *hopRequest) request(r *http.Request) *http.Request {
	q := r.WithContext(r.Context())
	q.Method, q.RequestURI, q.Host = h.Method, string(h.Target), string(h.Host)
	q.Header = r.Header.Clone()
	q.Header.Del(hopHeader)
	q.Header.Del(hopIDHeader)
	return q
}

// admitHop checks whether this instance can serve a request that was admitted by its sender, and finds its
// workspace. A request that was admitted by a newer catalog is refused, and so is one whose key no longer belongs to its workspace.
func (c *call) admitHop() error {
	if c.catalog.Version < c.hop.Catalog {
		return snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "this instance has an older catalog").After(startRetryAfter)
	}
	if c.hop.Workspace == "" {
		return nil
	}
	c.key = c.hop.Key
	switch c.judgeKey(c.catalog, c.hop.Workspace) {
	case keyValid:
		c.workspace = c.catalog.WorkspaceNamed(c.hop.Workspace)
		return nil
	case keyUnneeded:
		return nil
	default:
		return c.keyChangedError()
	}
}

// setHopResult states in the header of an answer to a peer what became of the request.
func (c *call) setHopResult(answer bool) {
	if c.hop == nil {
		return
	}
	result := hopResult{Answer: answer, Declined: c.declined, Unreachable: c.declined && c.unreachableHere()}
	if c.reached > 0 {
		result.Upstream, result.Software = c.tried[len(c.tried)-1], c.lastSoftware
	}
	c.writer.Header().Set(hopHeader, encodeHop(&result))
}

// countServedHop counts a hop that was served.
func (c *call) countServedHop(outcome string) {
	c.gateway.Meter.Count(`snipepitch_hop_requests_total{role="Served",service=` + strconv.Quote(c.service) + `,outcome="` + outcome + `"}`)
}
