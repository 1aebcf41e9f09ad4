package snipeowner

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// FuzzRows checks that whatever stands beside them, the rows of an instance and of an engine are read.
func FuzzRows(f *testing.F) {
	peer, engine := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	f.Add("instance/odd", []byte(`{"Peer":"127.0.0.1:70000"}`))
	f.Add("engine/127.0.0.1:3", []byte(`{"Fence":1e30}`))
	f.Add("engine/127.0.0.1:2", []byte(`null`))
	f.Add("odd", []byte(`{"Peer":"","Power":1e999}`))
	f.Add("odd", []byte(`{"Power":-1,"Domain":"\u0000"}`))
	instance, err := json.Marshal(Instance{Peer: peer, Incarnation: "i"})
	must.NoError(f, err)
	owner, err := json.Marshal(ownership{Peer: peer, Incarnation: "i", Fence: 5})
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		row := func(sort string, data []byte, version uint64) snipeplatform.Row {
			return snipeplatform.Row{Key: snipeplatform.Key{Partition: Partition, Sort: sort}, Version: version, Data: data}
		}
		h := &Holder{
			Self: Instance{Peer: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: "self"}, Log: snipelog.New(io.Discard, logrus.PanicLevel, "self"),
			Clock: func() time.Duration { return time.Second },
			Table: Table{List: func(context.Context, string, uint64) ([]snipeplatform.Row, uint64, error) {
				return []snipeplatform.Row{row(key, value, 1), row("127.0.0.1:1", instance, 2), row(ownerPrefix+engine.String(), owner, 3)}, 3, nil
			}},
		}
		h.instances, h.owners = map[netip.AddrPort]instanceRow{}, map[netip.AddrPort]ownerRow{}
		must.NoError(t, h.read(t.Context()))
		must.Eq(t, "i", h.instances[peer].Incarnation)
		must.Eq(t, 5, h.owners[engine].Fence)
		_ = h.View()
	})
}
