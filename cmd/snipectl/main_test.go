package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeoperator"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetree"
)

// cluster is two instances with one table and the operators' API of the first. The
// second instance owns engine "e" and has its own revision.
type cluster struct {
	// address and handler are those of the first instance's API.
	address string
	handler http.Handler
	// revision is that of the second instance.
	revision uint64
	// drained is the name of the instance that was drained last.
	drained string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	s := &cluster{}
	store := &snipetree.Store{Table: snipestand.NewTable().Client(), Log: snipelog.Discard(), Operation: rand.Text}
	other := &snipeoperator.LocalStatus{Name: "two", Revision: func() uint64 { return s.revision }, Drain: func() { s.drained = "two" }}
	peer := httptest.NewServer(snipeproto.NewStatusServer(other))
	t.Cleanup(peer.Close)
	view := &snipelease.View{
		Instances: map[string]snipelease.Instance{
			"one": {Name: "one"},
			"two": {Name: "two", PeerAddress: netip.MustParseAddrPort(peer.Listener.Addr().String())},
		},
		Owners: map[string]snipelease.Ownership{"e": {Instance: snipelease.Instance{Name: "two"}, Fence: 7}},
	}
	other.View = func() *snipelease.View { return view }
	other.Resident = func(string) ([]snipecall.Adapter, int) {
		return []snipecall.Adapter{{Team: "a", Name: "x", Version: "1"}, {Team: "b", Name: "y", Version: "1"}}, 3
	}
	own := &snipeoperator.LocalStatus{
		Name: "one", View: other.View, Resident: other.Resident, Drain: func() { s.drained = "one" },
		Revision: func() uint64 { return store.Current().Revision },
	}
	server := &snipeoperator.Server{
		Settings: store, BootstrapKeyHash: snipetree.HashKey("boot"), View: other.View, Local: own, Peers: http.DefaultClient,
	}
	refreshing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// No background task refreshes the store from the table in this test.
		_ = store.Refresh(r.Context())
		server.Handler().ServeHTTP(w, r)
	})
	s.handler = refreshing
	front := httptest.NewServer(refreshing)
	t.Cleanup(front.Close)
	s.address = front.Listener.Addr().String()
	return s
}

// run runs one command line with a key and returns the exit code and all output.
func (s *cluster) run(t *testing.T, key, in string, line ...string) (int, string) {
	t.Helper()
	t.Setenv("SNIPECTL_KEY", key)
	var out bytes.Buffer
	line = append([]string{"-address", s.address}, line...)
	code := runLine(context.Background(), line, strings.NewReader(in), &out, &out)
	return code, out.String()
}

const branchA = `{"Keys": {}, "Adapters": {"x": {"Base": "base", "Versions": {"1": {"Path": "p"}}}}}`

func platformBranch(t *testing.T) string {
	t.Helper()
	hash := func(key string) string {
		text, err := snipetree.HashKey(key).MarshalText()
		must.NoError(t, err)
		return string(text)
	}
	return `{"WeightStore": {"LoadsPerSecond": 1, "Concurrent": 1}, "Services": {},
		"Engines": {"e": {"Address": "192.0.2.1:1", "Domain": "d", "Base": "base", "Slots": 2, "Batch": 1}},
		"Operators": {"platform": {"KeyHash": "` + hash("boot") + `", "Platform": true},
		"a": {"KeyHash": "` + hash("key-a") + `", "Teams": ["a"]}}}`
}

// TestCommandLine guards against wrong exit codes, rights and output. The steps of
// the session build on each other.
func TestCommandLine(t *testing.T) {
	s := newCluster(t)
	steps := []struct {
		name, key, in string
		line          []string
		code          int
		text          string
	}{
		{"no command", "boot", "", nil, exitUsage, "usage: snipectl"},
		{"unknown command", "boot", "", []string{"dance"}, exitUsage, "usage: snipectl"},
		{"help", "boot", "", []string{"-help"}, 0, "exit codes"},
		{"help of a command", "boot", "", []string{"apply", "-help"}, 0, "-wait"},
		{"unknown flag", "boot", "", []string{"apply", "-nonsense"}, exitUsage, "nonsense"},
		{"address with a name", "boot", "", []string{"-address", "localhost:1", "show"}, exitUsage, "-address"},
		{"unknown key", "other", "", []string{"show"}, exitRefused, "unknown operator key"},
		{"no key", "", "", []string{"show"}, exitRefused, "unknown operator key"},
		{"bad branch", "boot", `{"Nonsense": 1}`, []string{"apply"}, exitRefused, "Nonsense"},
		{"first branch", "boot", platformBranch(t), []string{"apply"}, 0, "accepted as revision 1"},
		{"branch of a team", "boot", branchA, []string{"apply", "-team", "a"}, 0, "accepted as revision 2"},
		{"conflict", "boot", branchA, []string{"apply", "-team", "a"}, exitConflict, "has version 1, not 0"},
		{"own branch", "key-a", "", []string{"show", "a"}, 0, "# revision 2, version 1"},
		{"other branch", "key-a", "", []string{"show", "b"}, exitRefused, `no right to branch "b"`},
		{"platform's branch", "key-a", "", []string{"show"}, exitRefused, "no right"},
		{"edit of another branch", "key-a", branchA, []string{"apply", "-team", "b"}, exitRefused, `no right to branch "b"`},
		{"edit of the platform's branch", "key-a", platformBranch(t), []string{"apply", "-version", "1"}, exitRefused, "no right"},
		{"no difference", "key-a", branchA, []string{"diff", "-team", "a"}, 0, ""},
		{"difference", "key-a", strings.Replace(branchA, `"p"`, `"q"`, 1), []string{"diff", "-team", "a"}, exitDiffers, `+ Adapters.x.Versions.1.Path: "q"`},
		{"not in force everywhere", "key-a", branchA, []string{"apply", "-team", "a", "-version", "1", "-wait", "1ms"}, exitNotInForce, "revision 3: "},
		{"watch", "key-a", "", []string{"watch", "-count", "1", "-interval", "1ms", "a"}, 0, "# revision 3, version 2"},
		{"history", "key-a", "", []string{"history", "a"}, 0, "2        3         20"},
		{"history without the right", "key-a", "", []string{"history", "b"}, exitRefused, "no right"},
		{"earlier version", "key-a", "", []string{"show", "-version", "1", "a"}, 0, "version 1\n" + branchA},
		{"unknown version", "key-a", "", []string{"show", "-version", "9", "a"}, exitFailed, "unknown version of a branch"},
		{"rollback without a version", "key-a", "", []string{"rollback", "-team", "a", "-to", "1"}, exitUsage, "needs -version and -to"},
		{"rollback without the right", "key-a", "", []string{"rollback", "-team", "b", "-version", "2", "-to", "1"}, exitRefused, "no right"},
		{"rollback from an old version", "key-a", "", []string{"rollback", "-team", "a", "-version", "1", "-to", "1"}, exitConflict, "has version 2, not 1"},
		{"rollback", "key-a", "", []string{"rollback", "-team", "a", "-version", "2", "-to", "1"}, 0, "accepted as revision 4"},
		{"adapters of a team", "key-a", "", []string{"adapters"}, 0, "a/x@1    true      e"},
		{"adapters of another team", "key-a", "", []string{"adapters", "b"}, exitRefused, "no right"},
		{"adapters of all teams", "boot", "", []string{"adapters"}, 0, "b/y@1    false     e"},
		{"engines", "boot", "", []string{"engines"}, 0, "two    7      2      3      a/x@1 b/y@1"},
		{"upstreams", "key-a", "", []string{"upstreams"}, 0, "e     Engine  192.0.2.1:1  d       two"},
		{"leases", "key-a", "", []string{"leases"}, 0, "two                    false    e"},
		{"drain without the right", "key-a", "", []string{"drain", "two"}, exitRefused, "no right"},
		{"drain of an unknown instance", "boot", "", []string{"drain", "three"}, exitFailed, "no live instance three"},
		{"drain by name", "boot", "", []string{"drain", "two"}, 0, ""},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			code, text := s.run(t, step.key, step.in, step.line...)
			must.Eq(t, step.code, code, must.Sprint(text))
			must.StrContains(t, text, step.text)
		})
	}
	must.Eq(t, "two", s.drained)
}

// TestTeamSeesOnlyItsAdapters guards against showing a team which adapters of other
// teams are resident.
func TestTeamSeesOnlyItsAdapters(t *testing.T) {
	s := newCluster(t)
	code, _ := s.run(t, "boot", platformBranch(t), "apply")
	must.Zero(t, code)
	for _, command := range []string{"adapters", "engines"} {
		_, text := s.run(t, "key-a", "", command)
		must.StrContains(t, text, "a/x@1")
		must.StrNotContains(t, text, "b/y@1")
	}
}

// TestWaitInForce guards against a -wait that goes on although every instance has
// the revision.
func TestWaitInForce(t *testing.T) {
	s := newCluster(t)
	s.revision = 1
	code, text := s.run(t, "boot", platformBranch(t), "apply", "-wait", "1m")
	must.Zero(t, code)
	must.StrContains(t, text, "in force everywhere as revision 1")
}

// TestKeyFile guards against a key file that is not read, or whose error is not
// reported.
func TestKeyFile(t *testing.T) {
	s := newCluster(t)
	file := filepath.Join(t.TempDir(), "key")
	must.NoError(t, os.WriteFile(file, []byte("boot\n"), 0o600))
	code, _ := s.run(t, "", platformBranch(t), "-key-file", file, "apply")
	must.Zero(t, code)
	code, text := s.run(t, "", "", "-key-file", file+"-missing", "show")
	must.Eq(t, exitUsage, code)
	must.StrContains(t, text, "no such file")
}

// TestTLS guards against a -ca file that is not used: the client trusts the server
// whose certificate the file holds, refuses a file without a certificate, and does
// not reach a TLS server without -ca.
func TestTLS(t *testing.T) {
	s := newCluster(t)
	front := httptest.NewTLSServer(s.handler)
	t.Cleanup(front.Close)
	front.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.address = front.Listener.Addr().String()
	directory := t.TempDir()
	authority, empty := filepath.Join(directory, "ca.pem"), filepath.Join(directory, "empty.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: front.Certificate().Raw}
	must.NoError(t, os.WriteFile(authority, pem.EncodeToMemory(block), 0o600))
	must.NoError(t, os.WriteFile(empty, nil, 0o600))
	code, _ := s.run(t, "boot", platformBranch(t), "-ca", authority, "apply")
	must.Zero(t, code)
	code, text := s.run(t, "boot", "", "-ca", empty, "show")
	must.Eq(t, exitUsage, code)
	must.StrContains(t, text, "no certificate")
	code, _ = s.run(t, "boot", "", "show")
	must.Eq(t, exitFailed, code)
}

// TestEditWithoutAnswer guards against a wrong outcome for an edit without an answer:
// it is unknown if the edit was sent, and failed if the connection was refused.
func TestEditWithoutAnswer(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	s := &cluster{address: aborting.Listener.Addr().String()}
	for _, line := range [][]string{{"apply"}, {"rollback", "-version", "2", "-to", "1"}} {
		code, text := s.run(t, "boot", "{}", line...)
		must.Eq(t, exitUnknown, code)
		must.StrContains(t, text, "may have taken effect")
	}
	aborting.Close()
	code, _ := s.run(t, "boot", "{}", "apply")
	must.Eq(t, exitFailed, code)
}

// TestEditReplyLost guards against making an edit twice: the first answer is lost
// after the edit took effect, and the repetition must report the same revision.
func TestEditReplyLost(t *testing.T) {
	s := newCluster(t)
	var requests atomic.Int32
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			s.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		s.handler.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	s.address = front.Listener.Addr().String()
	code, text := s.run(t, "boot", platformBranch(t), "apply")
	must.Zero(t, code)
	must.StrContains(t, text, "accepted as revision 1")
}
