package snipeentry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSharers covers a simultaneous start of all instances, which know no others yet. None may
// assume that it is the only one.
func TestSharers(t *testing.T) {
	i := instanceWithRows(t, 0, DefaultFreshness, nil)
	must.LessEq(t, 1, i.instances())
	must.GreaterEq(t, minSharingInstances, i.sharingInstances())
}
