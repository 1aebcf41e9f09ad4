package snipequarantine

import (
	"github.com/go-faster/errors"
)

// An upstream may crash when it begins to write an answer on one part of a prompt, whatever else the request holds.
// Requests that share such a part need not be alike in anything else, so that parts are counted by themselves.

// partsKey is the fingerprint whose coordinators decide about all parts: which of several parts explains the crashes
// can be told only by who knows the crashes of all. As that of an answer, it stands for any request with a prompt.
var partsKey = NewFingerprint(nil, "prompt parts")

// PartCrash reports that an upstream ended before it had begun to answer a request.
type PartCrash struct {
	// Upstream identifies one start of the upstream, Text is the fingerprint of the request.
	Upstream string
	Text     Fingerprint
	Parts    []PartMark
}

// PartMark is a part of a prompt, with what the reporting instance knows of it.
type PartMark struct {
	Key   Fingerprint
	Round uint64
	// Known is set if the instance has seen a request with the part answered lately, before the crash.
	Known bool
}

const (
	// MaxParts bounds the parts of one prompt. A request's header has no room for more.
	MaxParts = 8192
	// MaxReportParts bounds the parts of the prompts in one Report, unless a single prompt has more.
	MaxReportParts = 32768
	// maxKeptParts bounds the parts of the prompts that an instance keeps to report them.
	maxKeptParts = 131072
)

// Check returns an error that wraps ErrSuspect if another instance cannot have observed this.
func (c PartCrash) Check() error {
	if len(c.Parts) > MaxParts {
		return errors.Wrap(ErrSuspect, "too many parts")
	}
	return UpstreamCrash{Upstream: c.Upstream}.Check()
}
