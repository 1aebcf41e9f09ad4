package snipeinstance

import (
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipeupstream"
)

// keysPoll is the time between two reads of certificate files.
const keysPoll = 10 * time.Second

// loadKeys reads the certificates of the listeners that have any.
func (i *Instance) loadKeys() error {
	i.keys = map[string]*snipecert.Keeper{}
	for name, files := range map[string]*snipecert.Files{
		"Callers":   i.Config.CallersTLS,
		"Operators": i.Config.OperatorsTLS,
		"Peers":     i.Config.PeersTLS,
	} {
		if files == nil {
			continue
		}
		k := &snipecert.Keeper{Files: *files, Name: name, Poll: keysPoll, Log: i.Log}
		if err := k.Load(); err != nil {
			return errors.Wrapf(err, "%sTLS", name)
		}
		i.keys[name] = k
	}
	return nil
}

// peerDial returns the dial of connections to peers, with TLS where the peers'
// listener has it. Its bytes are counted for the purpose.
func (i *Instance) peerDial(purpose string) snipeupstream.Dial {
	counted := i.meter.Traffic(purpose).Dialer(snipeupstream.DialTCP())
	if k := i.keys["Peers"]; k != nil {
		return k.Dialer(counted)
	}
	return counted
}
