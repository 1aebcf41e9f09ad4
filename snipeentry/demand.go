package snipeentry

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipeproto"
)

// encodeDemand adds a demand to a request to load an adapter. A target that has passed is sent as
// one millisecond, because 0 means that none is stated.
func encodeDemand(r *snipeproto.AdapterEnsureRequest, d snipeadapter.Demand) {
	r.PatienceMilliseconds = d.MaxWait.Milliseconds()
	r.Priority = int32(min(max(d.Priority, 0), snipeadapter.MaxPriority))
	r.Workspace = d.Workspace
	if d.Target != 0 {
		r.TargetMilliseconds = max(d.Target.Milliseconds(), 1)
	}
	if d.Deadline != 0 {
		r.DeadlineMilliseconds = max(d.Deadline.Milliseconds(), 1)
	}
	r.PromptTokens = int64(d.PromptTokens)
}

// decodeDemand returns the demand of a request to load an adapter. Figures beyond the range of their
// types become the nearest that fit; the controller bounds them further.
func decodeDemand(r *snipeproto.AdapterEnsureRequest) snipeadapter.Demand {
	return snipeadapter.Demand{
		MaxWait: milliseconds(r.GetPatienceMilliseconds()), Priority: int(r.GetPriority()), Workspace: r.GetWorkspace(),
		Target: milliseconds(r.GetTargetMilliseconds()), Deadline: milliseconds(r.GetDeadlineMilliseconds()),
		PromptTokens: int(min(max(r.GetPromptTokens(), 0), math.MaxInt32)),
	}
}

// milliseconds converts a number of milliseconds of a message, without an overflow.
func milliseconds(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(n, -limit), limit)) * time.Millisecond
}
