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

// requestTimeout bounds one request to the instance.
const requestTimeout = 30 * time.Second

// errNoCertificate is returned for a -ca file without a certificate.
var errNoCertificate = errors.New("no certificate in the file")

// client calls the operators' API of one instance and prints its answers.
type client struct {
	operator snipeproto.Operator
	// json selects JSON output instead of tables.
	json bool
	in   io.Reader
	out  io.Writer
	// messages takes warnings and errors.
	messages io.Writer
}

// newClient returns a client for the instance at address, which authenticates
// with key. If authority is not empty, the client uses TLS and trusts the
// certificates in that file.
func newClient(address, key, authority string) (*client, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "-address")
	}
	transport := &http.Transport{}
	scheme := "http://"
	if authority != "" {
		if transport.TLSClientConfig, err = authorityConfig(authority); err != nil {
			return nil, errors.Wrap(err, "-ca")
		}
		scheme = "https://"
	}
	h := &http.Client{Timeout: requestTimeout, Transport: &keyTransport{key: key, next: transport}}
	return &client{operator: snipeproto.NewOperatorProtobufClient(scheme+a.String(), h)}, nil
}

// authorityConfig returns a TLS configuration that trusts only the authorities whose
// certificates are in the file.
func authorityConfig(file string) (*tls.Config, error) {
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

// keyTransport adds the operator's key to each request.
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

// printTable prints a header and rows of tab-separated cells in aligned columns.
func (c *client) printTable(header string, rows []string) error {
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	// A write error stays in the writer and is returned by Flush.
	_, _ = fmt.Fprintln(t, header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, r)
	}
	return t.Flush()
}

// readInput reads the file that the arguments name, or standard input if they
// name none or "-".
func (c *client) readInput(arguments []string) ([]byte, error) {
	switch {
	case len(arguments) > 1:
		return nil, errors.Wrap(errUsage, "one file at most")
	case len(arguments) == 0 || arguments[0] == "-":
		return io.ReadAll(c.in)
	}
	return os.ReadFile(arguments[0])
}

// optionalArgument returns the only argument, or "" if there is none.
func optionalArgument(arguments []string) (string, error) {
	switch len(arguments) {
	case 0:
		return "", nil
	case 1:
		return arguments[0], nil
	}
	return "", errors.Wrap(errUsage, "one argument at most")
}
