package snipecert

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipelog"
)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.certificate, a.key, a.pem, _ = sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotAfter: time.Now().Add(time.Hour),
	}, nil)
	return a
}

func sign(t *testing.T, template *x509.Certificate, by *authority) (*x509.Certificate, *ecdsa.PrivateKey, []byte, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	parent, signer := template, key
	if by != nil {
		parent, signer = by.certificate, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	return certificate, key,
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// write creates a certificate that a has signed and writes its files to dir. It returns the files
// and the private key in PEM format.
func (a *authority) write(t *testing.T, dir string, serial int64, valid time.Duration) (Files, []byte) {
	_, _, certificate, key := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry-1"}, NotAfter: time.Now().Add(valid),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a)
	f := Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem")}
	must.NoError(t, os.WriteFile(f.Certificate, certificate, 0o600))
	must.NoError(t, os.WriteFile(f.Key, key, 0o600))
	must.NoError(t, os.WriteFile(f.Authority, a.pem, 0o600))
	return f, key
}

// TestCheck checks which files are rejected, and that the error contains the name of the field.
func TestCheck(t *testing.T) {
	a := newAuthority(t)
	cases := map[string]struct {
		change func(f *Files)
		reason string
	}{
		"good":            {func(*Files) {}, ""},
		"no key":          {func(f *Files) { f.Key = "" }, "Key: missing"},
		"no such file":    {func(f *Files) { f.Certificate += "x" }, "Certificate: "},
		"key of another":  {func(f *Files) { f.Key = f.Certificate }, "Certificate and Key: "},
		"authority empty": {func(f *Files) { f.Authority = f.Key }, "Authority: no certificate"},
		"expired": {func(f *Files) {
			old, _ := a.write(t, filepath.Dir(f.Key), 3, -time.Minute)
			*f = old
		}, "Certificate: expired"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, _ := a.write(t, t.TempDir(), 2, time.Hour)
			c.change(&f)
			err := f.Check()
			if c.reason == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, ErrInvalid)
			must.StrContains(t, err.Error(), c.reason)
		})
	}
}

// serverSerial connects a client to a server, and returns the serial number of the certificate that
// the server presents.
func serverSerial(t *testing.T, server, client *Reloader) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c, err := l.Accept(); err == nil {
			// Errors are ignored here, since the client returns its own.
			_, _ = io.WriteString(c, "x")
			_ = c.Close()
		}
	}()
	defer func() {
		_ = l.Close()
		<-done
	}()
	c, err := client.Dialer((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), err
}

// TestReload checks that a new certificate and key are used without a restart, that files that do
// not match leave the previous ones in use, that the same failure is logged once, and that no part
// of a key is logged.
func TestReload(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	f, key := a.write(t, dir, 2, time.Hour)
	var log bytes.Buffer
	k := &Reloader{Files: f, Name: "Peers", Log: snipelog.New(&log, logrus.TraceLevel, "entry-1")}
	must.NoError(t, k.Load())
	n, err := serverSerial(t, k, k)
	must.NoError(t, err)
	must.Eq(t, 2, n)

	_, secondKey := a.write(t, dir, 3, time.Hour)
	must.Eq(t, "", k.reload(""))
	n, err = serverSerial(t, k, k)
	must.NoError(t, err)
	must.Eq(t, 3, n)

	must.NoError(t, os.WriteFile(f.Key, key, 0o600))
	failure := k.reload("")
	must.StrContains(t, failure, "Certificate and Key")
	must.Eq(t, failure, k.reload(failure))
	n, err = serverSerial(t, k, k)
	must.NoError(t, err)
	must.Eq(t, 3, n)

	must.StrContains(t, log.String(), "CertificateInForce")
	must.Eq(t, 1, bytes.Count(log.Bytes(), []byte("CertificateRefused")))
	for _, secret := range [][]byte{key, secondKey} {
		for line := range bytes.Lines(secret) {
			if line = bytes.TrimSpace(line); !bytes.HasPrefix(line, []byte("-----")) {
				must.False(t, bytes.Contains(log.Bytes(), line))
			}
		}
	}
}

// TestPeerCertificates checks that a client rejects a server, and a server a client, whose
// certificate its authority has not signed.
func TestPeerCertificates(t *testing.T) {
	newKeeper := func(a *authority) *Reloader {
		f, _ := a.write(t, t.TempDir(), 2, time.Hour)
		k := &Reloader{Files: f}
		must.NoError(t, k.Load())
		return k
	}
	ours, other := newAuthority(t), newAuthority(t)
	_, err := serverSerial(t, newKeeper(ours), newKeeper(ours))
	must.NoError(t, err)
	_, err = serverSerial(t, newKeeper(other), newKeeper(ours))
	must.ErrorIs(t, err, ErrUntrusted)
	untrusted := newKeeper(other)
	untrusted.current.Load().authority.AddCert(ours.certificate)
	_, err = serverSerial(t, newKeeper(ours), untrusted)
	must.Error(t, err)
}
