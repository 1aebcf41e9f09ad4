package snipeentry

import (
	"math"
	"strconv"

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

// decodeDemand returns the demand of a request to load an adapter. Times beyond maxMessageTime and
// figures beyond the range of their types become the nearest that fit; the controller bounds them
// further.
func decodeDemand(r *snipeproto.AdapterEnsureRequest) snipeadapter.Demand {
	return snipeadapter.Demand{
		MaxWait: milliseconds(r.GetPatienceMilliseconds()), Priority: int(r.GetPriority()), Workspace: r.GetWorkspace(),
		Target: milliseconds(r.GetTargetMilliseconds()), Deadline: milliseconds(r.GetDeadlineMilliseconds()),
		PromptTokens: int(min(max(r.GetPromptTokens(), 0), math.MaxInt32)),
	}
}

// encodeBusy returns the answer to a request whose load is refused for lack of time.
func encodeBusy(b *snipeadapter.BusyError) *snipeproto.AdapterEnsureResponse {
	return &snipeproto.AdapterEnsureResponse{
		Busy: true, WaitMilliseconds: b.Wait.Milliseconds(), RetryMilliseconds: b.RetryAfter.Milliseconds(),
	}
}

// decodeBusy returns the error of an answer that states that the load is refused for lack of time.
func decodeBusy(r *snipeproto.AdapterEnsureResponse) *snipeadapter.BusyError {
	return &snipeadapter.BusyError{
		Wait: max(milliseconds(r.GetWaitMilliseconds()), 0), RetryAfter: max(milliseconds(r.GetRetryMilliseconds()), 0),
	}
}

// countLoadRefusal counts the refusal of an adapter load for lack of time.
func (i *Instance) countLoadRefusal(priority int, displaced bool) {
	i.meter.Count(`snipepitch_loads_refused_total{priority="` + strconv.Itoa(priority) + `",displaced="` + strconv.FormatBool(displaced) + `"}`)
}
