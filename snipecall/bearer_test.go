package snipecall_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
)

// TestBearerKey checks well-formed and malformed Authorization headers.
func TestBearerKey(t *testing.T) {
	tests := map[string]struct {
		values []string
		key    string
	}{
		"Plain":         {[]string{"Bearer abc"}, "abc"},
		"OtherCase":     {[]string{"bEARER abc"}, "abc"},
		"Spaces":        {[]string{"  Bearer   abc  "}, "abc"},
		"Missing":       {nil, ""},
		"Empty":         {[]string{""}, ""},
		"SchemeAlone":   {[]string{"Bearer"}, ""},
		"EmptyKey":      {[]string{"Bearer  "}, ""},
		"OtherScheme":   {[]string{"Basic abc"}, ""},
		"NoScheme":      {[]string{"abc"}, ""},
		"Twice":         {[]string{"Bearer abc", "Bearer abc"}, ""},
		"TwoKeys":       {[]string{"Bearer abc", "Bearer def"}, ""},
		"TooLong":       {[]string{"Bearer " + strings.Repeat("a", 64<<10)}, ""},
		"NotASCII":      {[]string{"Bearer schlüssel\x00"}, "schlüssel\x00"},
		"TwoInOneValue": {[]string{"Bearer abc, Bearer def"}, "abc, Bearer def"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			for _, v := range tt.values {
				h.Add("Authorization", v)
			}
			key, ok := snipecall.BearerKey(h)
			must.Eq(t, tt.key, key)
			must.Eq(t, tt.key != "", ok)
		})
	}
}

// FuzzBearerKey checks that any header yields either no key or a key that the header contains.
func FuzzBearerKey(f *testing.F) {
	f.Add("Bearer abc")
	f.Add("bearer\tabc")
	f.Fuzz(func(t *testing.T, value string) {
		key, ok := snipecall.BearerKey(http.Header{"Authorization": {value}})
		must.Eq(t, ok, key != "")
		must.True(t, strings.Contains(value, key))
	})
}
