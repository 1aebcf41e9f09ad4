package snipeconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const validFile = `{"Name":"entry-1","Domain":"d","Callers":"127.0.0.1:1","Operators":"127.0.0.1:2","Peers":"127.0.0.1:3",
"PeerSecret":"do-not-print","Platform":{"Table":"127.0.0.1:4","SecretKey":"nor-this"}}`

// TestRefusals guards against invalid settings that are accepted, against refusals that do not name
// the file, the field and the reason, and against refusals that contain a secret.
func TestRefusals(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown field":         {`"Domain"`, `"Domane"`, "Domane"},
		"field by another case": {`"Domain"`, `"domain"`, "unknown field"},
		"unknown inner field":   {`"Table"`, `"Tablet"`, "Platform.Tablet"},
		"name twice":            {`"Domain":"d"`, `"Domain":"d","Domain":"e"`, "Domain: duplicate name"},
		"bad name":              {`"entry-1"`, `"entry 1"`, "Name: "},
		"address by host name":  {`127.0.0.1:1`, `localhost:1`, "localhost"},
		"no port":               {`127.0.0.1:1`, `127.0.0.1:0`, "Callers: must be"},
		"same address":          {`127.0.0.1:2`, `127.0.0.1:1`, "Operators: same address as Callers"},
		"no secret":             {`"PeerSecret":"do-not-print",`, ``, "PeerSecret: missing"},
		"bad duration":          {`"Domain"`, `"Renew":"soon","Domain"`, "duration"},
		"short lease":           {`"Domain"`, `"Lease":"14s","Renew":"5s","Domain"`, "Lease: must be at least"},
		"zero duration":         {`"Domain"`, `"Progress":"0s","Domain"`, "Progress: must be above 0"},
		"notice too long":       {`"Domain"`, `"StopNotice":"60s","Domain"`, "StopNotice: "},
		"no connections":        {`"Domain"`, `"MaxConnections":0,"Domain"`, "MaxConnections: "},
		"no body":               {`"Domain"`, `"MaxBody":0,"Domain"`, "MaxBody: "},
		"no calls":              {`"Domain"`, `"MaxCalls":0,"Domain"`, "MaxCalls: "},
		"bad level":             {`"Domain"`, `"LogLevel":"loud","Domain"`, "LogLevel: "},
		"authority of callers":  {`"Domain"`, `"CallersTLS":{"Certificate":"c","Key":"k","Authority":"a"},"Domain"`, "CallersTLS.Authority: "},
		"no authority of peers": {`"Domain"`, `"PeersTLS":{"Certificate":"c","Key":"k"},"Domain"`, "PeersTLS.Authority: missing"},
		"no certificate":        {`"Domain"`, `"CallersTLS":{"Certificate":"/nowhere/c","Key":"k"},"Domain"`, "CallersTLS: Certificate: "},
		"trailing data":         {`"nor-this"}}`, `"nor-this"}} {}`, "after the document"},
	}
	path := filepath.Join(t.TempDir(), "entry.json")
	must.NoError(t, os.WriteFile(path, []byte(validFile), 0o600))
	_, err := Load(path)
	must.NoError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, validFile, c.from)
			must.NoError(t, os.WriteFile(path, []byte(strings.Replace(validFile, c.from, c.to, 1)), 0o600))
			_, err := Load(path)
			must.ErrorIs(t, err, ErrInvalid)
			must.StrContains(t, err.Error(), path)
			must.StrContains(t, err.Error(), c.want)
			must.StrNotContains(t, err.Error(), "do-not-print")
			must.StrNotContains(t, err.Error(), "nor-this")
		})
	}
}

// FuzzDecode verifies that settings that are accepted are accepted again after they are encoded,
// and that every refusal wraps ErrInvalid.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{validFile, `{}`, `[]`, `{"Callers":7}`, `{"Lease":"-1s"}`, strings.Replace(validFile, "127.0.0.1:1", "[::1%eth0]:1", 1)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			must.ErrorIs(t, err, ErrInvalid)
			return
		}
		again, err := json.Marshal(c)
		must.NoError(t, err)
		_, err = Decode(again)
		must.NoError(t, err)
	})
}
