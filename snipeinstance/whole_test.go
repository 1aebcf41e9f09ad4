package snipeinstance

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipeconfig"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipestream"
	"snipepitch.example/snipepitch/snipeupstream"
)

// writeFiles writes a self-signed certificate, which also serves as its authority.
func writeFiles(t *testing.T) snipecert.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	dir := t.TempDir()
	f := snipecert.Files{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem"), Authority: filepath.Join(dir, "c.pem")}
	must.NoError(t, os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must.NoError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return f
}

// TestSystemOverTLS checks that callers and peers are served over TLS, and that a caller or a peer
// without TLS is refused.
func TestSystemOverTLS(t *testing.T) {
	peers := writeFiles(t)
	callers := peers
	callers.Authority = ""
	s := newSystem(t, func(c *snipeconfig.Config) { c.CallersTLS, c.PeersTLS = &callers, &peers })
	plain := s.client
	s.scheme = "https://"
	s.client = &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
	}}
	s.waitAnswers(t)
	_, err := s.stream(s.paths[2], nil)
	must.NoError(t, err)
	s.scheme, s.client = "http://", plain
	must.Error(t, s.complete(s.paths[1]))
	peer := s.instances[0].Config.Peers
	client := snipeupstream.NewFresh(snipeupstream.DialTCP())
	response, err := client.Get("http://" + peer.String() + "/Peer/Call")
	must.NoError(t, err)
	_ = response.Body.Close()
	must.Eq(t, http.StatusBadRequest, response.StatusCode)
}

// TestSystemStop guards against calls that fail in a planned stop: the owner of the engine stops
// while it answers a call forwarded by the other instance. The answer must be complete, and the
// other instance must take the engine over.
func TestSystemStop(t *testing.T) {
	s := newSystem(t, func(c *snipeconfig.Config) { c.StopNotice = snipejson.Duration(100 * time.Millisecond) })
	s.waitAnswers(t)
	owner := 0
	if s.instances[1].Config.Callers == s.paths[1].address {
		owner = 1
	}
	go func() { s.engine.gate <- struct{}{} }()
	response, err := s.send(s.paths[2], snipeupstream.ChatPath, `{"model":"a@1","messages":[],"stream":true}`)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := snipestream.NewReader(response.Body)
	for n := 1; n <= benchChunks; n++ {
		e, err := reader.Read()
		must.NoError(t, err)
		must.Eq(t, uint64(n), e.ID)
		must.Eq(t, "", e.Name)
		if n == benchChunks/2 {
			s.instances[owner].Stop()
			wait(t, func() bool { return !s.instances[owner].phase.ready() })
			// New calls are refused from now on; the call in flight continues.
			wait(t, func() bool { return s.complete(s.paths[1]) != nil })
		}
		if n < benchChunks {
			s.engine.gate <- struct{}{}
		}
	}
	e, err := reader.Read()
	must.NoError(t, err)
	must.Eq(t, "[DONE]", string(e.Data))
	must.NoError(t, <-s.ended[owner])
	must.False(t, s.instances[owner].phase.ready())
	wait(t, func() bool { return s.complete(s.paths[2]) == nil })
}

// TestSystemStopWithoutTable guards against a stop that hangs while the table is down, when engines
// cannot be handed over. It also checks that no secret is logged.
func TestSystemStopWithoutTable(t *testing.T) {
	s := newSystem(t, func(c *snipeconfig.Config) {
		c.StopNotice = snipejson.Duration(100 * time.Millisecond)
		c.Lease = snipejson.Duration(time.Second)
	})
	s.waitAnswers(t)
	s.table.SetFault(snipestand.TableFault{Down: true})
	for n, i := range s.instances {
		i.Stop()
		must.NoError(t, <-s.ended[n])
	}
	// The failed handover is logged, without any secret.
	log := s.log.String()
	must.StrContains(t, log, "HandoverFailed")
	for _, secret := range []string{benchKey, peerSecret, tableSecret} {
		must.StrNotContains(t, log, secret)
	}
}
