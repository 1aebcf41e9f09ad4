package snipeentry

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipesoftware"
)

// FuzzStoredStreams checks that the bytes of a row, which another writer may have left, are either refused or are origins that
// can be encoded again.
func FuzzStoredStreams(f *testing.F) {
	origins := []snipesoftware.Origin{{Key: snipesoftware.Stream{Attempt: "a", Service: "s"}.Key(), Version: "v1"}}
	data, err := proto.Marshal(encodeOrigins(origins))
	must.NoError(f, err)
	f.Add(data)
	f.Add(data[1:])
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		origins, err := decodeStoredStreams(data)
		if err != nil {
			must.SliceEmpty(t, origins)
			return
		}
		again, err := decodeOrigins(encodeOrigins(origins))
		must.NoError(t, err)
		for _, o := range origins {
			must.True(t, slices.Contains(again, o))
		}
	})
}
