// Package snipecert holds the certificate and the private key of a listener, and
// reloads them from their files without a restart.
//
// The files are read at an interval and not on a signal: the tools that renew
// certificates have no reference to the process, which uses its signals for stopping. Invariants:
//
//   - The certificate and the key in use matched, and the certificate had not expired,
//     when they were read.
//   - If the files cannot be used, the previous certificate and key stay in use.
//   - No error and no log line contains any part of a key.
package snipecert

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
)

// ErrInvalid is wrapped by every error of Files.Check and Reloader.Load.
var ErrInvalid = errors.New("invalid certificate settings")

// ErrUntrusted is returned for a peer that presents no certificate, or one that no
// trusted authority has signed. Without an authority file every peer is untrusted.
var ErrUntrusted = errors.New("untrusted certificate")

// maxFileSize bounds the size of a file in bytes.
const maxFileSize = 1 << 20

// Files contains the paths of the files of one listener, which are all in PEM format.
type Files struct {
	// Certificate is the file with the certificate and the intermediate certificates,
	// and Key is the file with the private key.
	Certificate string
	Key         string
	// Authority is the file with the certificate authorities that must have signed the
	// certificate of the other side; empty if the other side presents none.
	Authority string `json:",omitempty"`
}

// credentials is the content of the files at one time.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil if there is no authority file
	raw         [3][]byte      // content of the certificate, key and authority files
}

// Check reads the files and returns an error that contains the name of the invalid field.
func (f Files) Check() error {
	_, err := f.read()
	return err
}

func (f Files) read() (*credentials, error) {
	c := &credentials{}
	for n, file := range []struct{ field, path string }{
		{"Certificate", f.Certificate},
		{"Key", f.Key},
		{"Authority", f.Authority},
	} {
		if file.path == "" && file.field == "Authority" {
			continue
		}
		data, err := readFile(file.path)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalid, "%s: %v", file.field, err)
		}
		c.raw[n] = data
	}
	var err error
	if c.certificate, err = tls.X509KeyPair(c.raw[0], c.raw[1]); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "Certificate and Key: %v", err)
	}
	if now := time.Now(); now.After(c.certificate.Leaf.NotAfter) {
		return nil, errors.Wrapf(ErrInvalid, "Certificate: expired at %s", c.certificate.Leaf.NotAfter.Format(time.RFC3339))
	}
	if f.Authority != "" {
		c.authority = x509.NewCertPool()
		if !c.authority.AppendCertsFromPEM(c.raw[2]) {
			return nil, errors.Wrap(ErrInvalid, "Authority: no certificate in the file")
		}
	}
	return c, nil
}

func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("missing")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, errors.Errorf("%s is above %d bytes", path, maxFileSize)
	}
	return os.ReadFile(path)
}

// Reloader provides the current certificate and key of a listener. Exported fields are set
// before Load.
type Reloader struct {
	// Files contains the paths of the files, and Name is the listener's name in the log.
	Files Files
	Name  string
	// Poll is the time between two reads of the files.
	Poll time.Duration
	// Log receives events.
	Log *snipelog.Logger

	current atomic.Pointer[credentials]
}

// Load reads the files for the first time. It must be called before Run, Server and
// Dialer are used.
func (k *Reloader) Load() error {
	c, err := k.Files.read()
	if err != nil {
		return err
	}
	k.current.Store(c)
	return nil
}

// Run reads the files at the interval Poll and uses their content, until ctx ends.
func (k *Reloader) Run(ctx context.Context) error {
	t := time.NewTicker(k.Poll)
	defer t.Stop()
	failure := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		failure = k.reload(failure)
	}
}

// reload reads the files once. It returns the text of the error, which is logged only if
// it differs from the previous one, or an empty string.
func (k *Reloader) reload(previous string) string {
	c, err := k.Files.read()
	if err != nil {
		if err.Error() != previous {
			k.Log.Error(snipelog.CertificateRefused, err, snipelog.Fields{"Listener": k.Name})
		}
		return err.Error()
	}
	if c.equal(k.current.Load()) {
		return ""
	}
	k.current.Store(c)
	k.Log.Log(snipelog.CertificateInForce, snipelog.Fields{
		"Listener": k.Name, "NotAfter": c.certificate.Leaf.NotAfter.Format(time.RFC3339),
	})
	return ""
}

func (c *credentials) equal(other *credentials) bool {
	for n := range c.raw {
		if !bytes.Equal(c.raw[n], other.raw[n]) {
			return false
		}
	}
	return true
}

// Server returns the TLS configuration of a listener. New connections use the current
// files. If there is an authority, the other side must present a certificate.
func (k *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.current.Load()
			c := &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{current.certificate},
				// No HTTP/2: limits are counted in connections, on the condition that
				// each connection carries one call at a time.
				NextProtos: []string{"http/1.1"},
			}
			if current.authority != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = current.authority
			}
			return c, nil
		},
	}
}

// Dial is the type of a function that opens a connection, such as
// net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial that uses TLS on the connections of d. It presents the current
// certificate, and requires a certificate of the other side that the authority has
// signed. A failed handshake is returned as a net.OpError with Op "dial", like a failed
// connect. The Dial does not check the name in that certificate: instances are identified by
// addresses, which change whenever an instance is replaced, and the authority signs
// certificates of instances only.
func (k *Reloader) Dialer(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		current := k.current.Load()
		conn := tls.Client(plain, &tls.Config{
			MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{current.certificate},
			InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain, without the name
			VerifyConnection:   current.verify,
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: plain.RemoteAddr(), Err: err}
		}
		return conn, nil
	}
}

// verify checks that the authority has signed the certificate of the peer.
func (c *credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 || c.authority == nil {
		return ErrUntrusted
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: c.authority, Intermediates: intermediates})
	if err != nil {
		return errors.Wrap(ErrUntrusted, err.Error())
	}
	return nil
}
