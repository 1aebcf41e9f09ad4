package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"snipepitch.example/snipepitch/snipeproto"
)

const requestTimeout = 30 * time.Second

// client calls the operators' side of one instance.
type client struct {
	operator snipeproto.Operator
	json     bool
}

func newClient(address, key string, asJSON bool) *client {
	h := &http.Client{Timeout: requestTimeout, Transport: keyTransport{key}}
	return &client{operator: snipeproto.NewOperatorProtobufClient("http://"+address, h), json: asJSON}
}

// keyTransport puts the operator's key into each request.
type keyTransport struct {
	key string
}

// RoundTrip implements http.RoundTripper.
func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	return http.DefaultTransport.RoundTrip(r)
}

func (c *client) printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
