package snipesoftware

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// maxReleases bounds the releases of a service. Further versions are not announced, and no stream of
// a resumable route begins there.
const maxReleases = 32

// ErrRow is returned for a row of releases that cannot be valid.
var ErrRow = errors.New("invalid row of releases")

// Release is a version at which streams of a service may begin.
type Release struct {
	Version Version
	// Settled is set once streams may begin at the version as soon as an instance reads the row.
	Settled bool `json:",omitempty"`
}

// Row holds the releases of a service in the order of their announcement.
type Row []Release

// DecodeRow decodes and checks a row. Its errors wrap ErrRow.
func DecodeRow(data []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(ErrRow, "%v", err)
	}
	return r, r.check()
}

// check returns an error if the row has no release, too many, or one twice.
func (r Row) check() error {
	if len(r) == 0 || len(r) > maxReleases {
		return errors.Wrapf(ErrRow, "%d releases", len(r))
	}
	for n, e := range r {
		if slices.ContainsFunc(r[:n], func(other Release) bool { return other.Version == e.Version }) {
			return errors.Wrapf(ErrRow, "version %q twice", e.Version)
		}
	}
	return nil
}

// has reports whether a version is announced.
func (r Row) has(v Version) bool {
	return slices.ContainsFunc(r, func(e Release) bool { return e.Version == v })
}
