// Package snipeconfig is the settings file of one instance: its own addresses,
// failure domain, platform and keys. Everything else lives in the settings
// tree (package snipetree).
package snipeconfig

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipetree"
)

// ErrInvalid is wrapped by every error of the checks.
var ErrInvalid = errors.New("invalid settings file")

// maxFile bounds the size of a settings file in bytes.
const maxFile = 1 << 20

// Config is the settings file of one instance.
type Config struct {
	// Name is the instance's name, unique among all instances.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Callers is where callers connect, Operators where operators and
	// scrapers do, and Peers where other instances do.
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// PeersAnnounced is where other instances reach Peers, when an address
	// translation stands between them; Peers itself when it is left out.
	PeersAnnounced netip.AddrPort `json:",omitzero"`
	// PeerSecret proves that a peer is an instance.
	PeerSecret string
	// BootstrapKeyHash is the SHA-256 sum of the key that may write the
	// platform branch while there are no operators in it.
	BootstrapKeyHash snipetree.KeyHash
	// Platform is how to reach the platform.
	Platform Platform
	// Lease and Renew are the duration of the instance's lease and the time
	// between renewals.
	Lease snipejson.Duration
	Renew snipejson.Duration
	// Poll is the time between two reads of the settings' head.
	Poll snipejson.Duration
	// Progress is the longest time between two chunks of an answer before its
	// connection is given up.
	Progress snipejson.Duration
	// FirstChunk is the longest time that an engine may queue a call: from the
	// header of its answer to the first chunk.
	FirstChunk snipejson.Duration
	// LoadTimeout bounds the load of an adapter.
	LoadTimeout snipejson.Duration
	// CallersTLS, OperatorsTLS and PeersTLS are the certificates of the
	// listeners; a listener without is plain HTTP. That of peers needs an
	// authority, and all instances must have it or none.
	CallersTLS   *snipecert.Files `json:",omitempty"`
	OperatorsTLS *snipecert.Files `json:",omitempty"`
	PeersTLS     *snipecert.Files `json:",omitempty"`
	// StopNotice is how long a stopping instance, no longer ready, still takes
	// calls, for the balancer to notice.
	StopNotice snipejson.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout snipejson.Duration
	// MaxBody bounds a call's body in bytes.
	MaxBody int64
	// MaxCalls bounds the calls in flight on this instance.
	MaxCalls int
	// MaxConnections bounds the open connections of the callers' listener, and
	// those of the peers' listener.
	MaxConnections int
	// LogLevel is a level of logrus.
	LogLevel string
}

// Platform is how to reach the platform's services.
type Platform struct {
	Table     netip.AddrPort
	TableName string
	AccessKey string
	SecretKey string
	// InstanceList is where the platform lists the instances; without it they
	// find each other by their lease rows.
	InstanceList netip.AddrPort `json:",omitzero"`
	// Timeout bounds each request to the platform.
	Timeout snipejson.Duration
}

// Default returns the values used for fields that a file leaves out.
func Default() Config {
	seconds := func(n int) snipejson.Duration { return snipejson.Duration(time.Duration(n) * time.Second) }
	return Config{
		Lease: seconds(15), Renew: seconds(5), Poll: seconds(5),
		Progress: seconds(5), FirstChunk: seconds(30), LoadTimeout: seconds(60), StopNotice: seconds(3), StopTimeout: seconds(60),
		MaxBody: 4 << 20, MaxCalls: 10000, MaxConnections: 20000, LogLevel: "info",
		Platform: Platform{TableName: "snipepitch", Timeout: seconds(2)},
	}
}

// Announced returns the address that other instances are told.
func (c Config) Announced() netip.AddrPort {
	if c.PeersAnnounced.IsValid() {
		return c.PeersAnnounced
	}
	return c.Peers
}

// Load reads and checks a settings file. Its errors name the file, the field
// and the reason.
func Load(path string) (Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings file")
	}
	if info.Size() > maxFile {
		return Config{}, errors.Wrapf(ErrInvalid, "%s: above %d bytes", path, maxFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings file")
	}
	c, err := Decode(data)
	if err == nil {
		err = c.CheckFiles()
	}
	if err != nil {
		return Config{}, errors.Wrap(err, path)
	}
	return c, nil
}

// Decode reads and checks the contents of a settings file.
func Decode(data []byte) (Config, error) {
	c := Default()
	if err := snipejson.Decode(data, &c); err != nil {
		return Config{}, errors.Wrap(ErrInvalid, err.Error())
	}
	if err := c.Check(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func invalid(field, reason string) error {
	return errors.Wrapf(ErrInvalid, "%s: %s", field, reason)
}

// Check returns an error that wraps ErrInvalid and names the first bad field.
func (c Config) Check() error {
	if err := snipecall.CheckName(c.Name); err != nil {
		return invalid("Name", err.Error())
	}
	if err := snipecall.CheckName(c.Domain); err != nil {
		return invalid("Domain", err.Error())
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if c.PeerSecret == "" {
		return invalid("PeerSecret", "missing")
	}
	if err := c.checkDurations(); err != nil {
		return err
	}
	if c.MaxBody < 1 {
		return invalid("MaxBody", "must be at least 1")
	}
	if c.MaxCalls < 1 {
		return invalid("MaxCalls", "must be at least 1")
	}
	if c.MaxConnections < 1 {
		return invalid("MaxConnections", "must be at least 1")
	}
	if err := c.checkTLS(); err != nil {
		return err
	}
	if _, err := logrus.ParseLevel(c.LogLevel); err != nil {
		return invalid("LogLevel", err.Error())
	}
	return nil
}

func (c Config) checkAddresses() error {
	addresses := []struct {
		field string
		value netip.AddrPort
	}{
		{"Callers", c.Callers},
		{"Operators", c.Operators},
		{"Peers", c.Peers},
		{"Platform.Table", c.Platform.Table},
	}
	seen := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if !a.value.IsValid() || a.value.Port() == 0 {
			return invalid(a.field, "must be an IP number and a port")
		}
		if other, ok := seen[a.value]; ok {
			return invalid(a.field, "same address as "+other)
		}
		seen[a.value] = a.field
	}
	return nil
}

// checkTLS checks the certificate settings without their files.
func (c Config) checkTLS() error {
	if c.CallersTLS != nil && c.CallersTLS.Authority != "" {
		return invalid("CallersTLS.Authority", "callers are known by their keys; leave it out")
	}
	if c.OperatorsTLS != nil && c.OperatorsTLS.Authority != "" {
		return invalid("OperatorsTLS.Authority", "operators are known by their keys; leave it out")
	}
	if c.PeersTLS != nil && c.PeersTLS.Authority == "" {
		return invalid("PeersTLS.Authority", "missing: peers prove themselves to each other")
	}
	return nil
}

// CheckFiles checks the files that the settings name.
func (c Config) CheckFiles() error {
	for _, l := range []struct {
		field string
		files *snipecert.Files
	}{
		{"CallersTLS", c.CallersTLS},
		{"OperatorsTLS", c.OperatorsTLS},
		{"PeersTLS", c.PeersTLS},
	} {
		if l.files == nil {
			continue
		}
		if err := l.files.Check(); err != nil {
			return invalid(l.field, err.Error())
		}
	}
	return nil
}

func (c Config) checkDurations() error {
	durations := []struct {
		field string
		value snipejson.Duration
	}{
		{"Lease", c.Lease},
		{"Renew", c.Renew},
		{"Poll", c.Poll},
		{"Progress", c.Progress},
		{"FirstChunk", c.FirstChunk},
		{"LoadTimeout", c.LoadTimeout},
		{"StopTimeout", c.StopTimeout},
		{"Platform.Timeout", c.Platform.Timeout},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return invalid(d.field, "must be above 0")
		}
	}
	if c.StopNotice < 0 || c.StopNotice >= c.StopTimeout {
		return invalid("StopNotice", "must not be negative, and below StopTimeout")
	}
	if c.Lease < 3*c.Renew {
		return invalid("Lease", "must be at least three times Renew")
	}
	return nil
}
