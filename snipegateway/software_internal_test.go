package snipegateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipesoftware"
)

// TestSoftwareRule guards against upstreams of other software versions that are chosen, refused or waited for in a
// wrong way, and against a peer's answer whose version is another one or not known.
func TestSoftwareRule(t *testing.T) {
	v1, v2 := snipesoftware.Version("v1"), snipesoftware.Version("v2")
	upstream := func(v snipesoftware.Version, leaving bool) *snipedirectory.Upstream {
		return &snipedirectory.Upstream{ID: string(v), Software: v, Leaving: leaving}
	}
	first := func(v snipesoftware.Version) bool { return v == v1 }
	tests := map[string]struct {
		rule    softwareRule
		all     []*snipedirectory.Upstream
		allowed int
		want    error
		retry   bool
		// known and unknown are whether a peer's answer at v2, or at a version that it does not tell, is taken.
		known, unknown bool
	}{
		"Any":          {softwareRule{}, []*snipedirectory.Upstream{upstream(v1, false), upstream(v2, false)}, 2, nil, false, true, true},
		"None":         {softwareRule{}, nil, 0, snipeerror.ErrNoUpstream, true, true, true},
		"MayBegin":     {softwareRule{mayBegin: first}, []*snipedirectory.Upstream{upstream(v1, false), upstream(v2, false)}, 1, nil, false, true, true},
		"TooNew":       {softwareRule{mayBegin: first}, []*snipedirectory.Upstream{upstream(v2, false)}, 0, snipeerror.ErrNoUpstream, true, true, true},
		"Bound":        {softwareRule{bound: true, version: v1}, []*snipedirectory.Upstream{upstream(v1, false), upstream(v2, false)}, 1, nil, false, false, false},
		"BoundNew":     {softwareRule{bound: true, version: v2, mayBegin: first}, []*snipedirectory.Upstream{upstream(v2, false)}, 1, nil, false, true, false},
		"BoundGone":    {softwareRule{bound: true, version: v1}, []*snipedirectory.Upstream{upstream(v2, false)}, 0, snipeerror.ErrNotResumable, false, false, false},
		"BoundLeaving": {softwareRule{bound: true, version: v1}, []*snipedirectory.Upstream{upstream(v1, true)}, 1, snipeerror.ErrNotResumable, false, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			allowed := tt.rule.filter(tt.all)
			must.Len(t, tt.allowed, allowed)
			err := tt.rule.check(tt.all, allowed)
			must.Eq(t, tt.want == nil, err == nil)
			if tt.want != nil {
				must.ErrorIs(t, err, tt.want)
				must.Eq(t, snipeerror.NotRun, err.Outcome)
				must.Eq(t, tt.retry, err.RetryAfter > 0)
			}
			must.Eq(t, tt.known, tt.rule.allowsAnswer(&v2))
			must.Eq(t, tt.unknown, tt.rule.allowsAnswer(nil))
		})
	}
}
