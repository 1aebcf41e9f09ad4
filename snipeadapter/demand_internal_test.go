package snipeadapter

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDemandBounds guards against a demand of a faulty or later instance that holds a place in the
// queue for ever, or takes memory without bound.
func TestDemandBounds(t *testing.T) {
	tests := map[string]struct{ given, bounded Demand }{
		"Older": {Demand{MaxWait: time.Second}, Demand{MaxWait: time.Second, Target: time.Second}},
		"Negative": {
			Demand{MaxWait: -1, Priority: -3, Target: -1, Deadline: -1, PromptTokens: -1}, Demand{},
		},
		"Huge": {
			Demand{
				MaxWait: math.MaxInt64, Priority: math.MaxInt, Workspace: strings.Repeat("w", 1<<16),
				Target: math.MaxInt64, Deadline: math.MaxInt64, PromptTokens: math.MaxInt,
			},
			Demand{
				MaxWait: maxDemandTime, Priority: MaxPriority, Workspace: strings.Repeat("w", maxWorkspaceName),
				Target: maxDemandTime, Deadline: maxDemandTime, PromptTokens: maxPromptTokens,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, tt.bounded, tt.given.bounded()) })
	}
}
