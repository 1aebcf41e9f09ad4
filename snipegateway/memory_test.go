package snipegateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// TestSharedParts answers the pattern of long prompts of which two thirds are shared:
// 15 different beginnings, asked for by turns through many instances of an adapter that
// eight engines hold. Each beginning is read by one engine while all are calm; an engine
// that is busier than reading again costs is left. Short shares count for nothing.
func TestSharedParts(t *testing.T) {
	const engines, holders, beginnings, instances, perInstance = 12, 8, 15, 20, 90
	tests := map[string]struct {
		shared int
		most   int // pairs of a beginning and an engine that reads it
	}{"Long": {6300, beginnings}, "Short": {155, beginnings * holders}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				read := map[string]bool{}
				for range instances {
					c := newChooser(&owners{}, engines)
					for n := range holders {
						c.Residency.Tell(fmt.Sprint("e", n), request.Adapter, 1)
					}
					for n := range perInstance {
						begun := fmt.Sprint("part", n%beginnings)
						choice, err := c.Choose(t.Context(), service, prompt(begun, tt.shared), nil, objective)
						must.NoError(t, err)
						read[begun+choice.Upstream.ID] = true
						c.Balancer.Begin(choice.Upstream.ID, snipebalance.Weight(0))()
					}
				}
				must.LessEq(t, tt.most, len(read))
			})
		})
	}
}

// TestBusyReader: the engine that has read a prompt's beginning is left when waiting
// there costs more than reading again.
func TestBusyReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChooser(&owners{}, 12)
		c.Residency.Tell("e1", request.Adapter, 1)
		c.Residency.Tell("e2", request.Adapter, 1)
		q := prompt("part", 6300)
		first, err := c.Choose(t.Context(), service, q, nil, objective)
		must.NoError(t, err)
		for range 4 {
			c.Balancer.Begin(first.Upstream.ID, 1)
		}
		choice, err := c.Choose(t.Context(), service, q, nil, objective)
		must.NoError(t, err)
		must.Eq(t, first.Upstream.ID, choice.Upstream.ID)
		c.Balancer.Begin(first.Upstream.ID, 1)
		choice, err = c.Choose(t.Context(), service, q, nil, objective)
		must.NoError(t, err)
		must.NotEq(t, first.Upstream.ID, choice.Upstream.ID)
	})
}

// prompt returns a request whose prompt begins with a shared part.
func prompt(part string, shared int) *snipegateway.Request {
	return &snipegateway.Request{
		Adapter: snipecatalog.Adapter{Model: "base", Name: "a1"}, PromptTokens: shared + 500,
		Parts: []snipegateway.Part{{ID: part, Tokens: shared}, {ID: "own", Tokens: 500}},
	}
}
