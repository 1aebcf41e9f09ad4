package snipeentry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSharers answers the pattern of all instances that start at once and know nobody: none takes
// itself for the only one.
func TestSharers(t *testing.T) {
	i := instanceWithRows(t, 0, DefaultFreshness, nil)
	must.LessEq(t, 1, i.instances())
	must.GreaterEq(t, fewestInstances, i.sharingInstances())
}
