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

// ErrSettings is wrapped by every error that reports an invalid settings file.
var ErrSettings = errors.New("invalid settings file")

// maxSettings bounds a settings file in bytes.
const maxSettings = 1 << 20

// Settings is the content of an entry instance's settings file. The field names are the keys of the
// file.
type Settings struct {
	// Name is the instance's name, Domain its failure domain.
	Name   string
	Domain string
	// Callers, Ready, Peers and Metrics are the listen addresses for callers, for the balancer's
	// readiness checks, for other instances and for scrapers of metrics.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peers   netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are the Peers addresses of other instances, from which an instance reads while the
	// store does not answer. They may be down.
	Seeds []netip.AddrPort
	// Table is the address of the platform's store.
	Table netip.AddrPort
	// OrderGap is the least time between orders of two different instances to one engine.
	OrderGap snipejson.Duration
	// RetryShare is the number of retries that all instances together may send for each request of
	// a service, RetrySlack the number of retries beyond that.
	RetryShare float64
	RetrySlack float64
	// RetrySpan is the length of the window over which both are counted.
	RetrySpan snipejson.Duration
	// QuotaSpan is the length of the window over which the use of quotas is counted. Within one
	// window, all instances together may exceed a quota by the share QuotaOverrun of it and by
	// QuotaSlack units.
	QuotaSpan    snipejson.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// StopTimeout bounds a planned stop.
	StopTimeout snipejson.Duration
	// DrainTime is the time within which an upstream that announces that it is leaving stops
	// receiving new work, ApplyTime the time within which operators' declarations come into force.
	DrainTime snipejson.Duration
	ApplyTime snipejson.Duration
	// Power is the share of a core that the process gets on its machine. Tasks that are done for
	// all instances go to the instances with the most power.
	Power float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// LogLevel is the name of a logrus level.
	LogLevel string
}

// LoadSettings reads and checks a settings file. Its errors name the file, the field and the
// reason.
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
	}
	if err := snipejson.Decode(data, &s); err != nil {
		return Settings{}, errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	if err := s.check(); err != nil {
		return Settings{}, errors.Wrap(err, path)
	}
	return s, nil
}

// DefaultRetrySpan is the default of RetrySpan: the window over which the platform counts retries.
const DefaultRetrySpan = 10 * time.Second

// DefaultQuotaSpan is the default of QuotaSpan.
const DefaultQuotaSpan = 10 * time.Second

// DefaultMaxStaleness is the default of DrainTime and ApplyTime. The intervals at which the tables are
// read are designed for it.
const DefaultMaxStaleness = 2 * time.Second

// freshness returns the time within which changes in the store must be known.
func (s Settings) freshness() time.Duration { return min(s.DrainTime.Value(), s.ApplyTime.Value()) }

// minStopTimeout is the shortest time for a planned stop. The balancer needs more than two seconds
// to notice the stop.
const minStopTimeout = 4 * time.Second

const notPositive = "is not positive"

func invalid(field, reason string) error { return errors.Wrapf(ErrSettings, "%s: %s", field, reason) }

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
	}
	return nil
}

// checkOverruns checks the amounts by which all instances together may exceed their limits.
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
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return invalid("LogLevel", err.Error())
	}
	return nil
}
