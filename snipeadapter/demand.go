package snipeadapter

import "time"

const (
	// MaxPriority is the least urgent priority that a Demand distinguishes; less urgent ones count
	// as this one.
	MaxPriority = 15
	// maxWorkspaceName bounds the name of a workspace in a Demand, in bytes.
	maxWorkspaceName = 128
	// maxDemandTime bounds the times in a Demand. No route of a known deployment allows a longer
	// timeout.
	maxDemandTime = 10 * time.Minute
	// maxPromptTokens bounds the prompt in a Demand.
	maxPromptTokens = 1 << 20
)

// Demand describes the request for which an adapter is loaded. All times are counted from the call
// of Ensure.
type Demand struct {
	// MaxWait is how long the load may be expected to take; a load that would take longer is refused
	// at once.
	MaxWait time.Duration
	// Priority ranks the request; 0 is the most urgent. A request of an instance that states no
	// priority counts as most urgent, so that it is not put behind a less urgent one.
	Priority int
	// Workspace is the request's workspace; empty if it has none.
	Workspace string
	// Target is the time left until the request's latency target; MaxWait takes its place if it is
	// zero.
	Target time.Duration
	// Deadline is the time left until the request ends unanswered; zero if not stated. A queued load
	// is not refused later to a request that states none.
	Deadline time.Duration
	// PromptTokens is the size of the request's prompt; zero if not stated.
	PromptTokens int
}

// bounded returns the demand with all fields within their bounds: demands come from other instances,
// possibly of other versions. A request whose latency target has passed has the target that is
// nearest.
func (d Demand) bounded() Demand {
	d.MaxWait = min(max(d.MaxWait, 0), maxDemandTime)
	d.Priority = min(max(d.Priority, 0), MaxPriority)
	d.Workspace = d.Workspace[:min(len(d.Workspace), maxWorkspaceName)]
	d.PromptTokens = min(max(d.PromptTokens, 0), maxPromptTokens)
	d.Deadline = min(max(d.Deadline, 0), maxDemandTime)
	if d.Target == 0 {
		d.Target = d.MaxWait
	}
	d.Target = min(max(d.Target, 0), maxDemandTime)
	return d
}
