package snipeentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// oddValues are values of rows that another writer may have left.
func oddValues() map[string]string {
	entry := func(change string) string {
		return `{"service":"plain","addr":"127.0.0.1:9","zone":"here","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,` + change + `}`
	}
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	return map[string]string{
		"empty": "", "null": "null", "text": "text", "bytes": "\xff\xfe\x00", "list": "[]", "number": "1e999", "unclosed": `{"service":"plain"`,
		"deep": deep, "deep-field": entry(`"models":` + deep), "deep-objects": strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000),
		"port-high": entry(`"addr":"127.0.0.1:70000"`), "port-none": entry(`"addr":"127.0.0.1:0"`), "port-negative": entry(`"addr":"127.0.0.1:-1"`),
		"address-6": entry(`"addr":"[::1]:80"`), "address-name": entry(`"addr":"localhost:80"`), "seq-high": entry(`"seq":1e30`), "seq-negative": entry(`"seq":-1`),
		"born-high": entry(`"born":92233720368547758080`), "born-part": entry(`"born":1.5`), "slots-high": entry(`"slots":99999999999999999999`),
		"slots-most": entry(`"slots":9223372036854775807`), "remaining-high": entry(`"remainingMs":1e300`), "cold-high": entry(`"coldLeftMs":1e999`),
		"adapter-high": entry(`"models":[{"name":"base","version":1,"adapters":["a1@99999999999999999999"]}]`), "models-text": entry(`"models":"base"`),
		"software-long": entry(`"version":"` + strings.Repeat("v", 30000) + `"`), "software-odd": entry(`"version":"a\"b\\\n{}=\u0000"`),
		"service-odd": entry(`"service":"a\"b\\\n{}=\u0000"`), "service-none": entry(`"service":""`),
		"twice": entry(`"service":"plain","service":5`), "row-odd": `[{"Version":5}]`, "row-none": `[]`, "row-twice": `[{"Version":"v"},{"Version":"v"}]`,
		"instance-odd": `{"Peer":"127.0.0.1:70000","Incarnation":5}`, "instance-none": `{}`, "owner-odd": `{"Peer":"","Fence":-1}`,
	}
}

// oddKeys are the keys under which odd values stand, by table: those of rows that instances read there.
var oddKeys = map[string][]string{
	"servers":    {"odd/%s", "e1\r\nX: %s"},
	"op":         {"version/%s", "odd/%s"},
	"ownership":  {"odd/%s", "software/%s", "engine/%s", "instance/%s", "engine/127.0.0.1:9%s"},
	"quarantine": {"%s", "0123456789abcdef%s"},
	"streams":    {"%s", "127.0.0.1:9/%s"},
}

// TestOddRows guards against rows of another writer that end a process, keep it from following a table, or hide other rows:
// at instances that run, and at one that starts beside them.
func TestOddRows(t *testing.T) {
	for table, keys := range oddKeys {
		t.Run(table, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, time.Millisecond)
			s.declare(1)
			one := s.start("one")
			waitServing(t, one)
			for name, value := range oddValues() {
				for _, key := range keys {
					s.store.PutBytes(table, "", fmt.Sprintf(key, name), []byte(value))
				}
				s.store.PutBytes(table, "part", "e1", []byte(value))
				s.store.PutBytes(table, "part", "config", []byte(value))
			}
			s.declare(2)
			eventually(t, func() bool { return strings.Contains(s.logged(), `"Catalog":2,"Event":310`) })
			s.runners["e1"].Replace("v2")
			eventually(t, func() bool { return strings.Contains(s.logged(), `"Software":"v2"`) })
			two := s.start("two")
			for _, i := range []*instance{one, two} {
				waitServing(t, i)
				eventually(t, func() bool {
					a, _ := send(t, i.url, http.MethodPost, "/draft/x", "", modelHeader, "base/a1")
					return a.status == http.StatusOK
				})
				must.NotEq(t, "", i.metrics())
			}
		})
	}
}

// TestOddReleases guards against a row of a service's software versions that cannot be read, and keeps streams of the service
// from beginning at instances that start.
func TestOddReleases(t *testing.T) {
	for name, value := range map[string]string{"Bytes": "\xff", "Empty": "", "Nothing": "[]", "Null": "null", "Twice": `[{"Version":"v1"},{"Version":"v1"}]`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, time.Millisecond)
			s.declare(1)
			waitServing(t, s.start("one"))
			s.store.PutBytes("ownership", "", "software/engines", []byte(value))
			two := s.start("two")
			eventually(t, two.isReady)
			eventually(t, func() bool {
				a, _ := send(t, two.url, http.MethodPost, "/draft/x", "", modelHeader, "base")
				return a.status == http.StatusOK
			})
		})
	}
}
