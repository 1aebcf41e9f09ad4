package snipepeer

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipeupstream"
)

var (
	ownerAddress = netip.MustParseAddrPort("10.0.0.1:1")
	adapter      = snipecall.Adapter{Team: "ash", Name: "plume", Version: "2"}
)

// fixture is an entry and an owner on an in-memory network.
type fixture struct {
	network *snipestand.Network
	handler *Handler
	server  *http.Server
	client  *Client
}

// execute returns an Execute function that sends count chunks, one per second.
func execute(count int) func(context.Context, *snipecall.Call, snipecall.Sink) error {
	return func(ctx context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
		for n := 1; n <= count; n++ {
			if !snipetime.Sleep(ctx, time.Second) {
				return ctx.Err()
			}
			k := snipecall.Chunk{Sequence: uint64(n), Data: []byte("chunk " + strconv.Itoa(n)), Last: n == count}
			if err := sink(k); err != nil {
				return err
			}
		}
		return nil
	}
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{network: &snipestand.Network{}}
	f.handler = &Handler{
		Execute: execute(10), Secret: "s", HeartbeatInterval: time.Second, ResumeWindow: 10 * time.Second,
		WriteTimeout: 5 * time.Second, MaxBody: 100, MaxCalls: 2,
	}
	f.serve()
	f.client = &Client{
		Pooled: snipeupstream.NewPooled(f.network.Dial), Fresh: snipeupstream.NewFresh(f.network.Dial),
		Secret: "s", Progress: 5 * time.Second,
	}
	t.Cleanup(func() {
		_ = f.server.Close()
		f.client.Pooled.CloseIdleConnections()
		f.network.Cut()
		time.Sleep(time.Minute)
	})
	return f
}

func (f *fixture) serve() {
	f.server = &http.Server{Handler: f.handler, ReadHeaderTimeout: time.Minute}
	l := f.network.Listen(ownerAddress)
	go func() { _ = f.server.Serve(l) }()
}

func newCall() *snipecall.Call {
	return &snipecall.Call{
		ID: "call-1", Team: "ash", Adapter: adapter, Upstream: "engine-1", Method: http.MethodPost, Path: "/v1/completions",
		Idempotent: true, Stream: true, Deadline: time.Now().Add(time.Minute), Body: []byte("body"),
	}
}

// collect returns a sink and the chunks it receives, as number and data.
func collect() (snipecall.Sink, *[]string) {
	var got []string
	return func(c snipecall.Chunk) error {
		got = append(got, strconv.FormatUint(c.Sequence, 10)+" "+string(c.Data))
		return nil
	}, &got
}

// wholeAnswer returns the chunks of execute(count) in the form of collect.
func wholeAnswer(count int) []string {
	var want []string
	for n := 1; n <= count; n++ {
		want = append(want, strconv.Itoa(n)+" chunk "+strconv.Itoa(n))
	}
	return want
}

// TestForwardResumes guards against chunks that are lost, doubled or out of order when the connection
// between two instances breaks or becomes silent, and against calls that stay in flight at the owner.
func TestForwardResumes(t *testing.T) {
	cases := map[string]func(f *fixture){
		"no fault":          func(*fixture) {},
		"cut":               func(f *fixture) { f.network.Cut() },
		"silent":            func(f *fixture) { f.network.Silence() },
		"cut at the end":    func(f *fixture) { time.Sleep(6000 * time.Millisecond); f.network.Cut() },
		"silent at the end": func(f *fixture) { time.Sleep(6000 * time.Millisecond); f.network.Silence() },
		"cut twice": func(f *fixture) {
			f.network.Cut()
			time.Sleep(2 * time.Second)
			f.network.Cut()
		},
		"silent, then cut": func(f *fixture) {
			f.network.Silence()
			time.Sleep(7 * time.Second)
			f.network.Cut()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				go func() {
					time.Sleep(3500 * time.Millisecond)
					fault(f)
				}()
				sink, got := collect()
				must.NoError(t, f.client.Forward(t.Context(), ownerAddress, newCall(), sink))
				must.Eq(t, wholeAnswer(10), *got)
				must.Eq(t, name == "no fault", f.network.Opened() == 1)
				synctest.Wait()
				must.Zero(t, f.handler.InFlight())
			})
		})
	}
}

// TestCancelReachesOwner checks that the owner cancels a call at once when its caller
// leaves, and not only when the window of a lost connection ends.
func TestCancelReachesOwner(t *testing.T) {
	for name, fault := range map[string]func(f *fixture){
		"connection works": func(*fixture) {},
		"silent":           func(f *fixture) { f.network.Silence() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					time.Sleep(3500 * time.Millisecond)
					fault(f)
					cancel()
				}()
				sink, _ := collect()
				err := f.client.Forward(ctx, ownerAddress, newCall(), sink)
				must.ErrorIs(t, err, snipeerror.ErrCanceled)
				must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
				synctest.Wait()
				must.Zero(t, f.handler.InFlight())
			})
		})
	}
}

// TestWindowEnds checks that a hop that is not resumed is canceled after the window.
func TestWindowEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.handler.Execute = execute(1000)
		ctx, cancel := context.WithCancel(t.Context())
		f.client.Fresh = snipeupstream.NewFresh((&snipestand.Network{}).Dial)
		f.client.Pooled = snipeupstream.NewPooled(f.network.Dial)
		go func() {
			time.Sleep(3500 * time.Millisecond)
			cancel()
		}()
		sink, _ := collect()
		must.ErrorIs(t, f.client.Forward(ctx, ownerAddress, newCall(), sink), snipeerror.ErrCanceled)
		time.Sleep(9 * time.Second)
		must.Eq(t, 1, f.handler.InFlight())
		time.Sleep(2 * time.Second)
		must.Zero(t, f.handler.InFlight())
	})
}

// TestForwardFails guards against a failure of a hop that is reported as another kind, or with an outcome
// that would permit a retry of a call that may have run.
func TestForwardFails(t *testing.T) {
	cases := map[string]struct {
		prepare func(f *fixture, c *snipecall.Call)
		kind    error
		outcome snipeerror.Outcome
		chunks  int
	}{
		"nobody listens": {
			func(f *fixture, _ *snipecall.Call) {
				f.client.Pooled = snipeupstream.NewPooled((&snipestand.Network{}).Dial)
			},
			snipeerror.ErrNoUpstream, snipeerror.NotRun, 0,
		},
		"wrong secret": {
			func(f *fixture, _ *snipecall.Call) { f.client.Secret = "other" },
			snipeerror.ErrUnauthenticated, snipeerror.NotRun, 0,
		},
		"body too large": {
			func(_ *fixture, c *snipecall.Call) { c.Body = make([]byte, 101) },
			snipeerror.ErrTooLarge, snipeerror.NotRun, 0,
		},
		"too many calls": {
			func(f *fixture, _ *snipecall.Call) { f.handler.MaxCalls = 0 },
			snipeerror.ErrOverloaded, snipeerror.NotRun, 0,
		},
		"owner restarted": {
			func(f *fixture, _ *snipecall.Call) {
				go func() {
					time.Sleep(3500 * time.Millisecond)
					_ = f.server.Close()
					f.handler = &Handler{Secret: "s"}
					f.serve()
				}()
			},
			snipeerror.ErrIncomplete, snipeerror.MayHaveRun, 3,
		},
		"owner gone": {
			func(f *fixture, _ *snipecall.Call) {
				go func() {
					time.Sleep(3500 * time.Millisecond)
					_ = f.server.Close()
				}()
			},
			snipeerror.ErrIncomplete, snipeerror.MayHaveRun, 3,
		},
		"typed failure in the middle": {
			func(f *fixture, _ *snipecall.Call) {
				f.handler.Execute = func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
					_ = sink(snipecall.Chunk{Sequence: 1, Data: []byte("chunk 1")})
					return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "other adapter")
				}
			},
			snipeerror.ErrMismatch, snipeerror.MayHaveRun, 1,
		},
		"deadline": {
			func(_ *fixture, c *snipecall.Call) { c.Deadline = time.Now().Add(2500 * time.Millisecond) },
			snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				call := newCall()
				c.prepare(f, call)
				sink, got := collect()
				err := f.client.Forward(t.Context(), ownerAddress, call, sink)
				must.ErrorIs(t, err, c.kind)
				must.Eq(t, c.outcome, snipeerror.From(err).Outcome)
				must.Len(t, c.chunks, *got)
			})
		})
	}
}

// TestAnswerOfOtherAdapter checks that nothing is passed on of an answer for another
// adapter.
func TestAnswerOfOtherAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(adapterHeader, "ash/plume@1")
			_, _ = w.Write([]byte("id: 1\nevent: Last\ndata: x\n\n"))
		})
		sink, got := collect()
		must.ErrorIs(t, f.client.Forward(t.Context(), ownerAddress, newCall(), sink), snipeerror.ErrMismatch)
		must.SliceEmpty(t, *got)
	})
}

// TestNonIdempotentOnFreshConnection checks that a call that may not be repeated is
// never sent on a reused connection, which may have gone silent.
func TestNonIdempotentOnFreshConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		sink, _ := collect()
		must.NoError(t, f.client.Forward(t.Context(), ownerAddress, newCall(), sink))
		synctest.Wait()
		f.network.Silence()
		call := newCall()
		call.Idempotent = false
		start := time.Now()
		again, got := collect()
		must.NoError(t, f.client.Forward(t.Context(), ownerAddress, call, again))
		must.Eq(t, wholeAnswer(10), *got)
		must.Eq(t, 10*time.Second, time.Since(start))
		must.Eq(t, 2, f.network.Opened())
	})
}

// TestBoundedMemory checks that sending an event of a hop without a connection fails once
// the buffered events exceed maxBuffered.
func TestBoundedMemory(t *testing.T) {
	s := &session{call: newCall(), cancel: func() {}, window: time.Hour, done: make(chan struct{})}
	defer s.close()
	data := make([]byte, 1000)
	var err error
	n := 0
	for ; err == nil && n < 1000; n++ {
		err = s.send(eventChunk, data, false)
	}
	must.ErrorIs(t, err, errBehind)
	must.Less(t, 70, n)
}

// TestLargeWholeAnswer checks that an answer that is not streamed may be larger than
// a chunk, even if its connection breaks.
func TestLargeWholeAnswer(t *testing.T) {
	for name, cut := range map[string]bool{"no fault": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				data := make([]byte, 8<<20)
				f.handler.Execute = func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
					if cut {
						time.Sleep(time.Second)
						f.network.Cut()
						synctest.Wait()
					}
					return sink(snipecall.Chunk{Sequence: 1, Status: 200, ContentType: "text/plain", Data: data, Last: true})
				}
				size := 0
				must.NoError(t, f.client.Forward(t.Context(), ownerAddress, newCall(), func(c snipecall.Chunk) error {
					size = len(c.Data)
					return nil
				}))
				must.Eq(t, len(data), size)
			})
		})
	}
}

// TestRefusalOnReusedConnection guards against the write deadline of an earlier hop
// cutting off a refusal on the same connection. The call would then be reported as
// "may have run".
func TestRefusalOnReusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		sink, _ := collect()
		must.NoError(t, f.client.Forward(t.Context(), ownerAddress, newCall(), sink))
		time.Sleep(20 * time.Second)
		f.client.Secret = "other"
		err := f.client.Forward(t.Context(), ownerAddress, newCall(), sink)
		must.ErrorIs(t, err, snipeerror.ErrUnauthenticated)
		must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
		must.Eq(t, 1, f.network.Opened())
	})
}

// TestSlowEntry checks that an entry receives the whole answer even if it does not read
// for longer than WriteTimeout.
func TestSlowEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		// The clock of the synctest bubble does not advance while a heartbeat waits for the
		// session's lock.
		f.handler.HeartbeatInterval = time.Hour
		sink, got := collect()
		must.NoError(t, f.client.Forward(t.Context(), ownerAddress, newCall(), func(c snipecall.Chunk) error {
			if c.Sequence == 3 {
				time.Sleep(8 * time.Second)
			}
			return sink(c)
		}))
		must.Eq(t, wholeAnswer(10), *got)
	})
}
