// Package snipeconfig reads and checks the settings file of one instance: its addresses,
// failure domain, platform and keys. All other settings are in the settings tree (package
// snipetree).
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

// ErrInvalid is wrapped by every error of Decode and of the checks.
var ErrInvalid = errors.New("invalid settings file")

// maxFileSize limits the size of a settings file in bytes.
const maxFileSize = 1 << 20

// Config holds the settings file of one instance.
type Config struct {
	// Name is the instance's name, unique among all instances.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Callers is the address of the callers' listener, Operators that of the listener for
	// operators and metrics scrapers, and Peers that of the listener for other instances.
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// PeersAnnounced is the address at which other instances reach Peers, if addresses are
	// translated between them. If it is left out, Peers is announced.
	PeersAnnounced netip.AddrPort `json:",omitzero"`
	// PeerSecret is the shared secret by which an instance authenticates to its peers.
	PeerSecret string
	// BootstrapKeyHash is the SHA-256 hash of the key that has an operator's rights to all
	// branches while the platform branch declares no operators or has not been read yet.
	BootstrapKeyHash snipetree.KeyHash
	// Platform holds the addresses and credentials of the platform's services.
	Platform Platform
	// Lease is the duration of the instance's lease, at least three times Renew, which is the
	// time between its renewals.
	Lease snipejson.Duration
	Renew snipejson.Duration
	// Poll is the average time between two reads of the revision of the settings tree. An
	// announced revision is read sooner.
	Poll snipejson.Duration
	// Progress is the longest time before the header of an engine's or another instance's
	// answer, and between two chunks of any answer, after
	// which its connection is aborted. It also bounds a write to another instance, and
	// twice Progress is how long a forwarded call continues without a connection.
	Progress snipejson.Duration
	// FirstChunk is the longest time that an engine may queue a call: the time from the header
	// of its answer to the first chunk.
	FirstChunk snipejson.Duration
	// LoadTimeout bounds the load of an adapter.
	LoadTimeout snipejson.Duration
	// CallersTLS, OperatorsTLS and PeersTLS name the certificate files of the listeners. A
	// listener without certificate files serves plain HTTP. PeersTLS needs an authority, and
	// must be set on all instances or on none.
	CallersTLS   *snipecert.Files `json:",omitempty"`
	OperatorsTLS *snipecert.Files `json:",omitempty"`
	PeersTLS     *snipecert.Files `json:",omitempty"`
	// StopNotice is how long a stopping instance still accepts calls while it reports that it
	// is not ready, so that the load balancer can notice.
	StopNotice snipejson.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout snipejson.Duration
	// MaxBody bounds a call's body in bytes.
	MaxBody int64
	// MaxCalls limits the callers' calls in flight on this instance, and separately those that
	// other instances have forwarded to it.
	MaxCalls int
	// MaxConnections limits the open connections of the callers' listener, and separately
	// those of the peers' listener.
	MaxConnections int
	// LogLevel is the name of a logrus level.
	LogLevel string
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	Table     netip.AddrPort
	TableName string
	AccessKey string
	SecretKey string
	// InstanceList is the address of the platform's list of instances. If it is left out,
	// instances discover each other by their lease rows.
	InstanceList netip.AddrPort `json:",omitzero"`
	// Timeout bounds each request to the platform.
	Timeout snipejson.Duration
}

// Default returns the values used for fields that a file leaves out. Fields without a value here
// have no default.
func Default() Config {
	seconds := func(n int) snipejson.Duration { return snipejson.Duration(time.Duration(n) * time.Second) }
	return Config{
		Lease: seconds(15), Renew: seconds(5), Poll: seconds(5),
		Progress: seconds(5), FirstChunk: seconds(30), LoadTimeout: seconds(60), StopNotice: seconds(3), StopTimeout: seconds(60),
		MaxBody: 4 << 20, MaxCalls: 10000, MaxConnections: 20000, LogLevel: "info",
		Platform: Platform{TableName: "snipepitch", Timeout: seconds(2)},
	}
}

// Announced returns the address that is announced to other instances: PeersAnnounced if it is
// set, and otherwise Peers.
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
	if info.Size() > maxFileSize {
		return Config{}, errors.Wrapf(ErrInvalid, "%s: above %d bytes", path, maxFileSize)
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
	fieldByAddress := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if !a.value.IsValid() || a.value.Port() == 0 {
			return invalid(a.field, "must be an IP number and a port")
		}
		if other, ok := fieldByAddress[a.value]; ok {
			return invalid(a.field, "same address as "+other)
		}
		fieldByAddress[a.value] = a.field
	}
	return nil
}

// checkTLS checks the certificate settings without reading the files.
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

// CheckFiles checks the certificate files that the settings name. Errors wrap ErrInvalid and
// name the field.
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
