package snipeplatform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipeupstream"
)

// documentBytes is the size of the document of an owner row.
const documentBytes = 120

// BenchmarkTraffic reports the bytes that one request to the table transfers, for the capacity
// page. The requests are a list of rows, a read and a write.
func BenchmarkTraffic(b *testing.B) {
	for _, rows := range []int{60, 600} {
		b.Run(fmt.Sprintf("list/rows=%d", rows), func(b *testing.B) {
			table, traffic := countedTable(b, rows)
			for b.Loop() {
				all, err := table.List(b.Context(), "Owners")
				must.NoError(b, err)
				must.SliceLen(b, rows, all)
			}
			report(b, traffic)
		})
	}
	b.Run("read", func(b *testing.B) {
		table, traffic := countedTable(b, 1)
		for b.Loop() {
			_, err := table.Get(b.Context(), snipeplatform.Key{Partition: "Owners", Sort: "engine-0000"})
			must.NoError(b, err)
		}
		report(b, traffic)
	})
	b.Run("write", func(b *testing.B) {
		table, traffic := countedTable(b, 0)
		n := uint64(0)
		for b.Loop() {
			must.NoError(b, write(b.Context(), table, "engine", n))
			n++
		}
		report(b, traffic)
	})
}

// write writes a row of the size of an owner row.
func write(ctx context.Context, table snipeplatform.Table, sort string, expect uint64) error {
	return table.Write(ctx, fmt.Sprint("operation-", sort, "-", expect), []snipeplatform.Change{{
		Key: snipeplatform.Key{Partition: "Owners", Sort: sort}, Expect: expect,
		Data: []byte(strings.Repeat("x", documentBytes)),
	}})
}

// countedTable returns a client of a simulated table with the given number of rows, and a counter
// of the bytes that the client transfers.
func countedTable(b *testing.B, rows int) (snipeplatform.Table, *snipemeter.Traffic) {
	simulated := snipestand.NewTable()
	for n := range rows {
		must.NoError(b, write(b.Context(), simulated.Client(), fmt.Sprintf("engine-%04d", n), 0))
	}
	server := httptest.NewServer(simulated)
	b.Cleanup(server.Close)
	traffic := snipemeter.New().Traffic("Platform")
	table := snipeplatform.Dynamo{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Table: "t", AccessKey: "a", SecretKey: "s",
		Timeout: time.Minute, Dial: traffic.Dialer(snipeupstream.DialTCP()),
	}.Open()
	return table, traffic
}

// report reports the bytes received and sent per operation.
func report(b *testing.B, traffic *snipemeter.Traffic) {
	received, sent := traffic.Bytes()
	b.ReportMetric(float64(received)/float64(b.N), "received-bytes/op")
	b.ReportMetric(float64(sent)/float64(b.N), "sent-bytes/op")
}
