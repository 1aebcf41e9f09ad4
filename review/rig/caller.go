package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

// reply is an answer to a caller; status 0 stands for a channel that ended without one.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request on a new channel and returns the answer.
func (w *world) send(i *instance, method, target, id string, wait time.Duration) reply {
	w.record("caller sends %s: %s %s to %s", id, method, target, i.name)
	r := exchange(i.callers, fmt.Sprintf(
		"%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		method, target, host, attemptID, id, wait.Milliseconds()), wait)
	w.record("caller gets for %s: status %d, seal %q, %d bytes, error %v", id, r.status, r.header.Get(seal), len(r.body), r.err)
	return r
}

// exchange writes a request to an address and reads the answer.
func exchange(address, request string, wait time.Duration) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))
	if _, err := io.WriteString(c, request); err != nil {
		return reply{err: err}
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return reply{a.StatusCode, a.Header, string(body), err}
}

// declare writes a configuration with one route for each prefix, all to the plain service.
func (w *world) declare(kind string, prefixes ...string) error {
	d := snipestand.Declared{Version: 1, Limits: snipestand.DeclaredLimits{BodyBytes: 4 << 20}, Services: []snipestand.DeclaredService{{Name: plain}}}
	for _, p := range prefixes {
		d.Routes = append(d.Routes, snipestand.DeclaredRoute{
			Name: "route" + p, Host: host, Prefix: p, Kind: kind, Service: plain, Timeout: 5000, Target: 150, MaxAttempts: 2,
		})
	}
	return w.store.Declare(d)
}

// plain is the name of the plain service.
const plain = "route-app"
