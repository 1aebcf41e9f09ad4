package snipeentry

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipejson"
)

// ErrSettings is wrapped by every error that reports an invalid settings file. An error that
// reports a file that cannot be read does not wrap it.
var ErrSettings = errors.New("invalid settings file")

// maxSettings bounds a settings file in bytes.
const maxSettings = 1 << 20

// Settings is the content of an entry instance's settings file. The field names are the keys of the
// file.
type Settings struct {
	// Name is the instance's name, Domain the name of its failure domain. Instances and engines
	// with the same Domain can fail together.
	Name   string
	Domain string
	// Callers, Ready, Peers and Metrics are the listen addresses for callers, for the readiness
	// checks of the load balancer in front of the instances, for other instances, and for scrapers
	// of metrics. Peers also identifies the instance to the others.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peers   netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are the Peers addresses of other instances, from which this instance reads the store's
	// tables while the store does not answer and no live instance is known or answers. The seeds
	// may be down.
	Seeds []netip.AddrPort
	// Table is the address of the platform's store.
	Table netip.AddrPort
	// OrderGap is the least time from the last moment at which this instance owned an engine until
	// it may order that engine again, if another instance owned the engine in between. It keeps two
	// owners from alternating. An instance does not know which engines it owned before its process
	// started, so for an engine that it has not owned since, it counts the time from its start.
	OrderGap snipejson.Duration
	// RetryShare is the number of retries that all instances together may send for each request of
	// a service, between 0 and 1. RetrySlack is the number of retries for each service that all
	// instances together may send within RetrySpan in addition.
	RetryShare float64
	RetrySlack float64
	// RetrySpan is the length of the window over which requests and retries are counted;
	// DefaultRetrySpan if the file does not set it.
	RetrySpan snipejson.Duration
	// QuotaSpan is the length of the window over which the use of quotas is counted;
	// DefaultQuotaSpan if the file does not set it. Within one window, all instances together may
	// exceed the units that a quota permits, its burst included, by the fraction QuotaOverrun of
	// them and by QuotaSlack units.
	QuotaSpan    snipejson.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// StopTimeout bounds a planned stop; requests that are then still in flight are cut off. It is
	// at least minStopTimeout.
	StopTimeout snipejson.Duration
	// DrainTime is the time within which an upstream that announces that it is leaving stops
	// receiving new work, ApplyTime the time within which operators' declarations come into force.
	// Both are DefaultMaxStaleness if the file does not set them.
	DrainTime snipejson.Duration
	ApplyTime snipejson.Duration
	// CrashTime is the time within which all instances refuse a request after it has crashed the third
	// upstream; DefaultCrashTime if the file does not set it. If it is shorter than two seconds, it may
	// be exceeded when a message between instances is lost.
	CrashTime snipejson.Duration
	// Power is the fraction of a core that the process gets on its machine. Tasks that a few
	// instances do for all go to the instances with the most power; instances with 0 come last.
	Power float64
	// MemoryBytes is the memory that the process may use; 0 sets no limit.
	MemoryBytes int64
	// AdmissionShare switches on shared admission for the plain services whose upstreams state a pace
	// and together have fewer than AdmissionShare slots for each live instance; 0 switches it off. It
	// is at most maxAdmissionShare.
	AdmissionShare float64
	// IgnorePace has upstreams chosen by their load alone, also where they state their pace.
	IgnorePace bool
	// LogLevel is the name of a logrus level; "info" if the file does not set it.
	LogLevel string
}

// LoadSettings reads and checks a settings file. Fields that the file does not set get their
// defaults. Errors about the content wrap ErrSettings and name the file and the reason, and for a
// value out of range also the field.
func LoadSettings(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings file")
	}
	if info.Size() > maxSettings {
		return Settings{}, errors.Wrapf(ErrSettings, "%s: larger than %d bytes", path, maxSettings)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings file")
	}
	s := Settings{
		LogLevel: "info", RetrySpan: snipejson.Duration(DefaultRetrySpan), QuotaSpan: snipejson.Duration(DefaultQuotaSpan),
		DrainTime: snipejson.Duration(DefaultMaxStaleness), ApplyTime: snipejson.Duration(DefaultMaxStaleness),
		CrashTime: snipejson.Duration(DefaultCrashTime),
	}
	if err := snipejson.Decode(data, &s); err != nil {
		return Settings{}, errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	if err := s.check(); err != nil {
		return Settings{}, errors.Wrap(err, path)
	}
	return s, nil
}

// DefaultRetrySpan is the default of Settings.RetrySpan. It equals the window over which the
// platform counts retries.
const DefaultRetrySpan = 10 * time.Second

// DefaultQuotaSpan is the default of Settings.QuotaSpan.
const DefaultQuotaSpan = 10 * time.Second

// DefaultMaxStaleness is the default of Settings.DrainTime and Settings.ApplyTime. The intervals at
// which the tables are read are designed for it.
const DefaultMaxStaleness = 2 * time.Second

// DefaultCrashTime is the default of Settings.CrashTime.
const DefaultCrashTime = 3 * time.Second

// maxStaleness returns the time within which an instance must know of a change in the store: the
// shorter of DrainTime and ApplyTime.
func (s Settings) maxStaleness() time.Duration { return min(s.DrainTime.Value(), s.ApplyTime.Value()) }

// minStopTimeout is the least StopTimeout. The load balancer in front of the instances needs more
// than two seconds to notice a stop.
const minStopTimeout = 4 * time.Second

// maxAdmissionShare bounds AdmissionShare: a service with more slots for each instance is not short
// of upstreams.
const maxAdmissionShare = 100

const notPositive = "is not positive"

// invalid returns an error that wraps ErrSettings and names a field and the reason.
func invalid(field, reason string) error { return errors.Wrapf(ErrSettings, "%s: %s", field, reason) }

// checkAddresses checks that each address is valid and has a port other than 0.
func (s Settings) checkAddresses() error {
	addresses := map[string]netip.AddrPort{
		callersName: s.Callers, "Ready": s.Ready, "Peers": s.Peers, "Metrics": s.Metrics, "Table": s.Table,
	}
	for n, seed := range s.Seeds {
		addresses["Seeds"+strconv.Itoa(n)] = seed
	}
	for name, a := range addresses {
		if !a.IsValid() || a.Port() == 0 {
			return invalid(name, "is no address with a port")
		}
	}
	return nil
}

func (s Settings) checkTimes() error {
	switch {
	case s.OrderGap < 0:
		return invalid("OrderGap", "is negative")
	case s.RetrySpan <= 0:
		return invalid("RetrySpan", notPositive)
	case s.QuotaSpan <= 0:
		return invalid("QuotaSpan", notPositive)
	case s.StopTimeout.Value() < minStopTimeout:
		return invalid("StopTimeout", "is shorter than "+minStopTimeout.String())
	case s.DrainTime <= 0:
		return invalid("DrainTime", notPositive)
	case s.ApplyTime <= 0:
		return invalid("ApplyTime", notPositive)
	case s.CrashTime <= 0:
		return invalid("CrashTime", notPositive)
	}
	return nil
}

// checkOverruns checks the bounds on retries, and the amounts by which all instances together may
// exceed a quota.
func (s Settings) checkOverruns() error {
	for name, share := range map[string]float64{"RetryShare": s.RetryShare, "QuotaOverrun": s.QuotaOverrun} {
		if share < 0 || share > 1 {
			return invalid(name, "is not between 0 and 1")
		}
	}
	for name, slack := range map[string]float64{"RetrySlack": s.RetrySlack, "QuotaSlack": s.QuotaSlack} {
		if slack < 0 {
			return invalid(name, "is negative")
		}
	}
	return nil
}

func (s Settings) check() error {
	if s.Name == "" {
		return invalid("Name", "is empty")
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkTimes(); err != nil {
		return err
	}
	if err := s.checkOverruns(); err != nil {
		return err
	}
	switch {
	case s.Power < 0:
		return invalid("Power", "is negative")
	case s.MemoryBytes < 0:
		return invalid("MemoryBytes", "is negative")
	case s.AdmissionShare < 0 || s.AdmissionShare > maxAdmissionShare:
		return invalid("AdmissionShare", "is not between 0 and "+strconv.Itoa(maxAdmissionShare))
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return invalid("LogLevel", err.Error())
	}
	return nil
}
