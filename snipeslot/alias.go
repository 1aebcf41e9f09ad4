package snipeslot

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/sniperoute"
)

// ErrBadAlias is returned for a name that does not have the format of
// Alias.String, such as the name of a base model.
var ErrBadAlias = errors.New("not an alias")

// pathBase is the numeral base of the path hash in an alias.
const pathBase = 36

// Alias names one load of an adapter at an engine. No alias is used twice: the
// fencing number identifies the ownership, and the number the load within it.
// An alias that an engine lists has therefore been loaded exactly once and has
// always stood for the same weights.
type Alias struct {
	// Adapter is the adapter that was loaded.
	Adapter snipecall.Adapter
	// Fence is the fencing number of the owner that ordered the load.
	Fence uint64
	// Number distinguishes the loads of that ownership.
	Number uint64
	// Path is the hash of the path that the weights were loaded from, so that a
	// later owner does not serve a version whose path has changed since.
	Path uint64
}

// HashPath returns the hash of a weight path for Alias.Path.
func HashPath(path string) uint64 { return sniperoute.Hash(path) }

// String returns team/name@version#fence.number.path, with the path hash in
// base 36.
func (a Alias) String() string {
	return a.Adapter.String() + "#" + strconv.FormatUint(a.Fence, 10) + "." +
		strconv.FormatUint(a.Number, 10) + "." + strconv.FormatUint(a.Path, pathBase)
}

// ParseAlias parses the format of Alias.String. The error for any other text
// wraps ErrBadAlias.
func ParseAlias(text string) (Alias, error) {
	var a Alias
	name, rest, ok := strings.Cut(text, "#")
	parts := strings.Split(rest, ".")
	if !ok || len(parts) != 3 {
		return a, errors.Wrapf(ErrBadAlias, "%q", text)
	}
	if err := a.Adapter.UnmarshalText([]byte(name)); err != nil || a.Adapter.IsZero() {
		return a, errors.Wrapf(ErrBadAlias, "%q", text)
	}
	var errs [3]error
	a.Fence, errs[0] = strconv.ParseUint(parts[0], 10, 64)
	a.Number, errs[1] = strconv.ParseUint(parts[1], 10, 64)
	a.Path, errs[2] = strconv.ParseUint(parts[2], pathBase, 64)
	for _, err := range errs {
		if err != nil {
			return a, errors.Wrapf(ErrBadAlias, "%q: %v", text, err)
		}
	}
	return a, nil
}
