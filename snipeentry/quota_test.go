package snipeentry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSharingInstances guards against an instance that uses a whole limit because it knows no
// others yet, as after a simultaneous start of all instances.
func TestSharingInstances(t *testing.T) {
	i := instanceWithRows(t, 0, DefaultMaxStaleness, nil)
	must.LessEq(t, 1, i.instances())
	must.GreaterEq(t, minSharingInstances, i.sharingInstances())
}
