package snipeentry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSharingInstances covers a simultaneous start of all instances, which know no others yet. None may
// assume that it is the only one.
func TestSharingInstances(t *testing.T) {
	i := instanceWithRows(t, 0, DefaultMaxStaleness, nil)
	must.LessEq(t, 1, i.instances())
	must.GreaterEq(t, minSharingInstances, i.sharingInstances())
}
