package snipeentry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

// rowsOf returns the registry rows of the given number of upstreams.
func rowsOf(count int) []snipemirror.Row {
	var rows []snipemirror.Row
	for n := range count {
		rows = append(rows, snipemirror.Row{
			Key: fmt.Sprintf("i-%06d", n), Version: uint64(n + 1),
			Value: fmt.Appendf(nil, `{"service":"engines","addr":"10.9.%d.%d:80","state":"ready","models":[{"name":"base","adapters":["a%d@1"]}],"seq":%d}`, n/250, n%250, n*7, n),
		})
	}
	return rows
}

// TestWholePages covers instances that start at once and request the whole table of three thousand
// upstreams from one instance. Two requests for the whole table within packedPageLife get the same
// compressed page, and an instance that reads on from that page receives later changes. It also
// checks that invalid compressed rows are rejected.
func TestWholePages(t *testing.T) {
	const table, count = "rows", 3000
	synctest.Test(t, func(t *testing.T) {
		source := snipemirror.New()
		rows := rowsOf(count)
		source.Apply(snipemirror.Page{Complete: true, Position: count, Rows: rows})
		server := &mirrorServer{mirrors: map[string]*snipemirror.Mirror{table: source}}
		watch := func(after uint64) *snipeproto.MirrorWatchResponse {
			answer, err := server.Watch(t.Context(), &snipeproto.MirrorWatchRequest{Table: table, After: after})
			must.NoError(t, err)
			return answer
		}
		first := watch(0)
		must.Less(t, count*30, len(first.GetPacked()))
		source.Apply(snipemirror.Page{Position: count + 1, Rows: []snipemirror.Row{{Key: "i-000000", Version: count + 1, Value: []byte("new")}}})
		time.Sleep(packedPageLife / 2)
		second := watch(0)
		must.True(t, &first.GetPacked()[0] == &second.GetPacked()[0])
		must.Eq(t, (packedPageLife / 2).Milliseconds(), second.GetAgeMilliseconds())

		follower := snipemirror.New()
		page, err := decodePage(second, time.Now())
		must.NoError(t, err)
		must.True(t, page.Complete)
		must.Len(t, count, follower.Apply(page))
		page, err = decodePage(watch(page.Position), time.Now())
		must.NoError(t, err)
		must.Len(t, 1, page.Rows)
		must.Len(t, 1, follower.Apply(page))
		time.Sleep(packedPageLife)
		must.Eq(t, count+1, watch(0).GetPosition())
		all, _, err := follower.Rows(0)
		must.NoError(t, err)
		rows[0] = snipemirror.Row{Key: "i-000000", Version: count + 1, Value: []byte("new")}
		must.Eq(t, rows, all)
	})
	_, err := unpackRows([]byte("nothing of the kind"))
	must.Error(t, err)
}
