package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeproto"
)

const requestTimeout = 30 * time.Second

// errNoCertificate is returned for a file of -ca without a certificate.
var errNoCertificate = errors.New("no certificate in the file")

// client calls the operators' side of one instance and prints its answers.
type client struct {
	operator snipeproto.Operator
	json     bool
	in       io.Reader
	out      io.Writer
	messages io.Writer
}

func newClient(address, key, authority string) (*client, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "-address")
	}
	transport := &http.Transport{}
	scheme := "http://"
	if authority != "" {
		if transport.TLSClientConfig, err = trust(authority); err != nil {
			return nil, errors.Wrap(err, "-ca")
		}
		scheme = "https://"
	}
	h := &http.Client{Timeout: requestTimeout, Transport: &keyTransport{key: key, next: transport}}
	return &client{operator: snipeproto.NewOperatorProtobufClient(scheme+a.String(), h)}, nil
}

// trust reads the certificates that an instance's one must come from.
func trust(file string) (*tls.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errNoCertificate
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// keyTransport puts the operator's key into each request.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (k *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.next.RoundTrip(r)
}

func (c *client) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (c *client) print(format string, a ...any) error {
	_, err := fmt.Fprintf(c.out, format, a...)
	return err
}

// table prints rows in columns under a head.
func (c *client) table(head string, rows []string) error {
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	// The writer keeps its error until Flush.
	_, _ = fmt.Fprintln(t, head)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, r)
	}
	return t.Flush()
}

// input reads the named file, or standard input.
func (c *client) input(arguments []string) ([]byte, error) {
	switch {
	case len(arguments) > 1:
		return nil, errors.Wrap(errUsage, "one file at most")
	case len(arguments) == 0 || arguments[0] == "-":
		return io.ReadAll(c.in)
	}
	return os.ReadFile(arguments[0])
}

// optional returns the one argument that may be given.
func optional(arguments []string) (string, error) {
	switch len(arguments) {
	case 0:
		return "", nil
	case 1:
		return arguments[0], nil
	}
	return "", errors.Wrap(errUsage, "one argument at most")
}
