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

// ErrSettings is wrapped by every error of the checks.
var ErrSettings = errors.New("invalid settings file")

// maxSettings bounds a settings file in bytes.
const maxSettings = 1 << 20

// Settings is the settings file of an entry instance.
type Settings struct {
	// Name is the instance's name, Domain its failure domain.
	Name   string
	Domain string
	// Callers is where callers connect, Ready where the balancer asks whether the
	// instance is ready, Peers where other instances connect, Metrics where
	// scrapers do.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peers   netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are other instances' Peers, to learn from while the store does not answer;
	// they may be down.
	Seeds []netip.AddrPort
	// Table is the address of the platform's store.
	Table netip.AddrPort
	// OrderGap is the least time between orders of two instances to one engine.
	OrderGap snipejson.Duration
	// RetryShare is how many repeats all instances may send for each request of a
	// service, RetrySlack how many beside that.
	RetryShare float64
	RetrySlack float64
	// RetrySpan is the span of time over which both are counted.
	RetrySpan snipejson.Duration
	// QuotaSpan is the window over which the use of quotas is counted. In it all instances may
	// together exceed a quota by the share QuotaOverrun of it and by QuotaSlack units.
	QuotaSpan    snipejson.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// StopTimeout bounds a planned stop.
	StopTimeout snipejson.Duration
	// DrainTime is within what time an upstream that says that it is leaving gets no new
	// work, ApplyTime within what time what operators declare is in force.
	DrainTime snipejson.Duration
	ApplyTime snipejson.Duration
	// Power is the share of a core that the machine gives the process; duties for
	// all instances go to those that have most.
	Power float64
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	// LogLevel is a level of logrus.
	LogLevel string
}

// LoadSettings reads and checks a settings file. Its errors name the file, the
// field and the reason.
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
		DrainTime: snipejson.Duration(DefaultFreshness), ApplyTime: snipejson.Duration(DefaultFreshness),
	}
	if err := snipejson.Decode(data, &s); err != nil {
		return Settings{}, errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	if err := s.check(); err != nil {
		return Settings{}, errors.Wrap(err, path)
	}
	return s, nil
}

// DefaultRetrySpan is the span over which repeats are counted: the platform's.
const DefaultRetrySpan = 10 * time.Second

// DefaultQuotaSpan is the default of QuotaSpan.
const DefaultQuotaSpan = 10 * time.Second

// DefaultFreshness is the default of DrainTime and ApplyTime: what the paces of reading are made
// for.
const DefaultFreshness = 2 * time.Second

// freshness is within what time what the store tells is known.
func (s Settings) freshness() time.Duration { return min(s.DrainTime.Value(), s.ApplyTime.Value()) }

// minStopTimeout is the least time for a planned stop: the balancer needs more than two
// seconds to notice.
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

// checkOverruns checks by how much all instances together may exceed what is allowed.
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
