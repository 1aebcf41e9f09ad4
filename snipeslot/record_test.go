package snipeslot

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
)

// TestRecord guards against a list that is taken as committed although the table
// was down or another owner has taken the engine, and against a write that fails
// because its reply was lost.
func TestRecord(t *testing.T) {
	for name, c := range map[string]struct {
		fault snipestand.TableFault
		taken bool // another owner has taken the engine
		err   error
		want  []string
	}{
		"written":       {want: []string{"x"}},
		"reply lost":    {fault: snipestand.TableFault{LoseReplies: 1}, want: []string{"x"}},
		"table down":    {fault: snipestand.TableFault{Down: true}, err: snipeplatform.ErrUnavailable},
		"another owner": {taken: true, err: snipeplatform.ErrConflict},
		"another owner, reply unclear": {
			taken: true, fault: snipestand.TableFault{LoseReplies: 1}, err: snipeplatform.ErrConflict,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := snipestand.NewTable()
			owner := snipeplatform.Change{Key: snipeplatform.Key{Partition: "Owners", Sort: "e1"}, Data: []byte("{}")}
			must.NoError(t, table.Write(t.Context(), "take", []snipeplatform.Change{owner}))
			n := 0
			r := RetiredRecord{
				Table: table.Client(), Engine: "e1", Fence: 1,
				Owner:     snipeplatform.Change{Key: owner.Key, Expect: 1},
				Operation: func() string { n++; return strconv.Itoa(n) },
			}
			_, err := r.Read(t.Context())
			must.NoError(t, err)
			if c.taken {
				owner.Expect = 1
				must.NoError(t, table.Write(t.Context(), "take again", []snipeplatform.Change{owner}))
			}
			table.SetFault(c.fault)
			must.ErrorIs(t, r.Commit(t.Context(), []string{"x"}), c.err)
			table.SetFault(snipestand.TableFault{})
			got, err := r.Read(t.Context())
			must.NoError(t, err)
			must.Eq(t, c.want, got)
			if !c.taken {
				must.NoError(t, r.Commit(t.Context(), []string{"y"}))
			}
		})
	}
}
