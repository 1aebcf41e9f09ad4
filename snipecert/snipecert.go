// Package snipecert keeps the certificate and key of a listener and takes new
// ones from their files without a restart.
//
// The files are read at an interval, not on a signal: certificates are renewed
// by tools that know of no process, and the signals of the daemon are taken by
// its stop. Invariants: what is served was a matching pair that had not
// expired when it was read; a pair that cannot be used leaves the one before
// in force; nothing of a key's contents is ever in an error or a log line.
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

// ErrInvalid is wrapped by every error of a check.
var ErrInvalid = errors.New("invalid certificate settings")

// ErrUntrusted is returned for a peer whose certificate no authority signed.
var ErrUntrusted = errors.New("untrusted certificate")

// maxFile bounds the size of a file in bytes.
const maxFile = 1 << 20

// Files name the files of one listener, all in PEM form.
type Files struct {
	// Certificate holds the certificate with those between it and the
	// authority, Key its private key.
	Certificate string
	Key         string
	// Authority holds the authorities that the other side's certificate must
	// be signed by; empty where the other side shows none.
	Authority string `json:",omitempty"`
}

// pair is what the files held when they were read.
type pair struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil without an authority
	raw         [3][]byte
}

// Check reads the files and returns an error that names the bad field.
func (f Files) Check() error {
	_, err := f.read()
	return err
}

func (f Files) read() (*pair, error) {
	p := &pair{}
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
		p.raw[n] = data
	}
	var err error
	if p.certificate, err = tls.X509KeyPair(p.raw[0], p.raw[1]); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "Certificate and Key: %v", err)
	}
	if now := time.Now(); now.After(p.certificate.Leaf.NotAfter) {
		return nil, errors.Wrapf(ErrInvalid, "Certificate: expired at %s", p.certificate.Leaf.NotAfter.Format(time.RFC3339))
	}
	if f.Authority != "" {
		p.authority = x509.NewCertPool()
		if !p.authority.AppendCertsFromPEM(p.raw[2]) {
			return nil, errors.Wrap(ErrInvalid, "Authority: no certificate in the file")
		}
	}
	return p, nil
}

func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("missing")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile {
		return nil, errors.Errorf("%s is above %d bytes", path, maxFile)
	}
	return os.ReadFile(path)
}

// Keeper serves the pair of a listener. Exported fields are set before Load.
type Keeper struct {
	// Files name the files, and Name the listener in the log.
	Files Files
	Name  string
	// Poll is the time between two reads of the files.
	Poll time.Duration
	// Log takes events.
	Log *snipelog.Logger

	current atomic.Pointer[pair]
}

// Load reads the files for the first time.
func (k *Keeper) Load() error {
	p, err := k.Files.read()
	if err != nil {
		return err
	}
	k.current.Store(p)
	return nil
}

// Run takes new files into use until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(k.Poll)
	defer t.Stop()
	failed := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		failed = k.step(failed)
	}
}

// step reads the files once. It returns the failure, which is logged when it
// differs from the one before.
func (k *Keeper) step(before string) string {
	p, err := k.Files.read()
	if err != nil {
		if err.Error() != before {
			k.Log.Error(snipelog.CertificateRefused, err, snipelog.Fields{"Listener": k.Name})
		}
		return err.Error()
	}
	if p.same(k.current.Load()) {
		return ""
	}
	k.current.Store(p)
	k.Log.Log(snipelog.CertificateInForce, snipelog.Fields{
		"Listener": k.Name, "NotAfter": p.certificate.Leaf.NotAfter.Format(time.RFC3339),
	})
	return ""
}

func (p *pair) same(other *pair) bool {
	for n := range p.raw {
		if !bytes.Equal(p.raw[n], other.raw[n]) {
			return false
		}
	}
	return true
}

// Server returns the settings of a listener, which follow the files. With an
// authority the other side must show a certificate.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := k.current.Load()
			c := &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{p.certificate},
				// Bounds are counted in connections, of one call at a time.
				NextProtos: []string{"http/1.1"},
			}
			if p.authority != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = p.authority
			}
			return c, nil
		},
	}
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial that shows the pair's certificate on connections of d,
// and asks for one that the same authority has signed. It does not check
// names: instances are known by addresses that change whenever one is
// replaced, and the authority signs instances alone.
func (k *Keeper) Dialer(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		p := k.current.Load()
		conn := tls.Client(plain, &tls.Config{
			MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{p.certificate},
			InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain, without the name
			VerifyConnection:   p.verify,
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: plain.RemoteAddr(), Err: err}
		}
		return conn, nil
	}
}

func (p *pair) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 || p.authority == nil {
		return ErrUntrusted
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: p.authority, Intermediates: between})
	if err != nil {
		return errors.Wrap(ErrUntrusted, err.Error())
	}
	return nil
}
