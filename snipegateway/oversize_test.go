package snipegateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOversizes guards against requests larger than the memory of all upstreams that are sent from one to the next and
// take the places of others, and against others that are refused for their size where upstreams are full.
func TestOversizes(t *testing.T) {
	tests := map[string]struct {
		served, refused []int
		size            int
		want            bool
	}{
		"Larger":        {served: []int{100, 200}, refused: []int{900, 800}, size: 850, want: true},
		"Once":          {served: []int{100, 200}, refused: []int{900}, size: 950},
		"Smaller":       {served: []int{100, 200}, refused: []int{900, 800}, size: 700},
		"WithinServed":  {served: []int{100, 900}, refused: []int{800, 850}, size: 850},
		"SizesUnstated": {served: []int{0, 0}, refused: []int{0, 0}, size: 0},
		"NothingServed": {refused: []int{900, 800}, size: 900},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &oversizes{}
				for range minSizesServed {
					for _, n := range tt.served {
						o.noteServed("s", n)
					}
				}
				for _, n := range tt.refused {
					o.noteRefused("s", n)
				}
				_, refused := o.refuses("s", tt.size)
				must.Eq(t, tt.want, refused)
				o.noteServed("s", tt.size)
				_, refused = o.refuses("s", tt.size)
				must.False(t, refused, must.Sprint("one of this size was served"))
				for _, n := range tt.refused {
					o.noteRefused("s", 2*n+1)
				}
				time.Sleep(oversizeTime)
				_, refused = o.refuses("s", 3000)
				must.False(t, refused, must.Sprint("the time is over"))
			})
		})
	}
}
