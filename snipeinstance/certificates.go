package snipeinstance

import (
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipeupstream"
)

// certificatePoll is the time between two reads of the certificate files.
const certificatePoll = 10 * time.Second

// loadCertificates reads the certificates of the listeners that use TLS.
func (i *Instance) loadCertificates() error {
	i.certificates = map[string]*snipecert.Reloader{}
	for name, files := range map[string]*snipecert.Files{
		"Callers":   i.Config.CallersTLS,
		"Operators": i.Config.OperatorsTLS,
		"Peers":     i.Config.PeersTLS,
	} {
		if files == nil {
			continue
		}
		k := &snipecert.Reloader{Files: *files, Name: name, Poll: certificatePoll, Log: i.Log}
		if err := k.Load(); err != nil {
			return errors.Wrapf(err, "%sTLS", name)
		}
		i.certificates[name] = k
	}
	return nil
}

// peerDial returns the dial function for connections to peers. It uses TLS if the peers' listener
// does. The bytes of its connections are counted under purpose in the traffic metrics.
func (i *Instance) peerDial(purpose string) snipeupstream.Dial {
	counted := i.meter.Traffic(purpose).Dialer(snipeupstream.DialTCP())
	if k := i.certificates["Peers"]; k != nil {
		return k.Dialer(counted)
	}
	return counted
}
