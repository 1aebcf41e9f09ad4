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

// TestSharedParts guards against the processing of each shared prompt prefix on every engine. Many
// instances send long prompts, two thirds of them shared, with 15 different prefixes in turn to an
// adapter that eight engines hold; while all engines are idle, one engine must process each prefix.
// Short shared prefixes do not influence the choice.
func TestSharedParts(t *testing.T) {
	const engines, holders, prefixes, instances, perInstance = 12, 8, 15, 20, 90
	tests := map[string]struct {
		shared   int
		maxPairs int // upper bound of the pairs of a prefix and an engine chosen for it
	}{"Long": {6300, prefixes}, "Short": {155, prefixes * holders}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				readers := map[string]bool{}
				for range instances {
					c := newChooser(&fakeOwners{}, engines)
					for n := range holders {
						c.Residency.RecordHeld(fmt.Sprint("e", n), request.Adapter, 1)
					}
					for n := range perInstance {
						prefix := fmt.Sprint("part", n%prefixes)
						choice, err := c.Choose(t.Context(), service, prompt(prefix, tt.shared), nil, latencyTarget)
						must.NoError(t, err)
						readers[prefix+choice.Upstream.ID] = true
						c.Balancer.Begin(choice.Upstream.ID, snipebalance.Weight(0))()
					}
				}
				must.LessEq(t, tt.maxPairs, len(readers))
			})
		})
	}
}

// TestBusyPrefixEngine guards against requests that stay at the engine that has processed their
// prompt's prefix although waiting there costs more than processing it again elsewhere.
func TestBusyPrefixEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChooser(&fakeOwners{}, 12)
		c.Residency.RecordHeld("e1", request.Adapter, 1)
		c.Residency.RecordHeld("e2", request.Adapter, 1)
		q := prompt("part", 6300)
		first, err := c.Choose(t.Context(), service, q, nil, latencyTarget)
		must.NoError(t, err)
		for range 4 {
			c.Balancer.Begin(first.Upstream.ID, 1)
		}
		choice, err := c.Choose(t.Context(), service, q, nil, latencyTarget)
		must.NoError(t, err)
		must.Eq(t, first.Upstream.ID, choice.Upstream.ID)
		c.Balancer.Begin(first.Upstream.ID, 1)
		choice, err = c.Choose(t.Context(), service, q, nil, latencyTarget)
		must.NoError(t, err)
		must.NotEq(t, first.Upstream.ID, choice.Upstream.ID)
	})
}

// prompt returns a request whose prompt begins with a shared part.
func prompt(part string, shared int) *snipegateway.Request {
	return &snipegateway.Request{
		Adapter: snipecatalog.Adapter{Model: "base", Name: "a1"}, PromptTokens: shared + 500,
		Parts: []snipegateway.PromptPart{{ID: part, Tokens: shared}, {ID: "own", Tokens: 500}},
	}
}
