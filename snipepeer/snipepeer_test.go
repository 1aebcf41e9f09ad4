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

// bench is an entry and an owner on a network in memory.
type bench struct {
	network *snipestand.Network
	handler *Handler
	server  *http.Server
	client  *Client
}

// execute sends count chunks, one a second.
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

func newBench(t *testing.T) *bench {
	b := &bench{network: &snipestand.Network{}}
	b.handler = &Handler{
		Execute: execute(10), Secret: "s", Beat: time.Second, Window: 10 * time.Second,
		WriteTimeout: 5 * time.Second, MaxBody: 100, MaxCalls: 2,
	}
	b.serve()
	b.client = &Client{
		HTTP: snipeupstream.NewPooled(b.network.Dial), Fresh: snipeupstream.NewFresh(b.network.Dial),
		Secret: "s", Progress: 5 * time.Second,
	}
	t.Cleanup(func() {
		_ = b.server.Close()
		b.client.HTTP.CloseIdleConnections()
		b.network.Cut()
		time.Sleep(time.Minute)
	})
	return b
}

func (b *bench) serve() {
	b.server = &http.Server{Handler: b.handler, ReadHeaderTimeout: time.Minute}
	l := b.network.Listen(ownerAddress)
	go func() { _ = b.server.Serve(l) }()
}

func newCall() *snipecall.Call {
	return &snipecall.Call{
		ID: "call-1", Team: "ash", Adapter: adapter, Upstream: "engine-1", Method: http.MethodPost, Path: "/v1/completions",
		Idempotent: true, Stream: true, Deadline: time.Now().Add(time.Minute), Body: []byte("body"),
	}
}

// collect returns a sink and what it got.
func collect() (snipecall.Sink, *[]string) {
	var got []string
	return func(c snipecall.Chunk) error {
		got = append(got, strconv.FormatUint(c.Sequence, 10)+" "+string(c.Data))
		return nil
	}, &got
}

func wholeAnswer(count int) []string {
	var want []string
	for n := 1; n <= count; n++ {
		want = append(want, strconv.Itoa(n)+" chunk "+strconv.Itoa(n))
	}
	return want
}

func TestForwardResumes(t *testing.T) {
	cases := map[string]func(b *bench){
		"no fault":          func(*bench) {},
		"cut":               func(b *bench) { b.network.Cut() },
		"silent":            func(b *bench) { b.network.Silence() },
		"cut at the end":    func(b *bench) { time.Sleep(6000 * time.Millisecond); b.network.Cut() },
		"silent at the end": func(b *bench) { time.Sleep(6000 * time.Millisecond); b.network.Silence() },
		"cut twice": func(b *bench) {
			b.network.Cut()
			time.Sleep(2 * time.Second)
			b.network.Cut()
		},
		"silent, then cut": func(b *bench) {
			b.network.Silence()
			time.Sleep(7 * time.Second)
			b.network.Cut()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				go func() {
					time.Sleep(3500 * time.Millisecond)
					fault(b)
				}()
				sink, got := collect()
				must.NoError(t, b.client.Forward(t.Context(), ownerAddress, newCall(), sink))
				must.Eq(t, wholeAnswer(10), *got)
				must.Eq(t, name == "no fault", b.network.Opened() == 1)
				synctest.Wait()
				must.Zero(t, b.handler.InFlight())
			})
		})
	}
}

// TestCancelReachesOwner: the owner hears of a caller that has gone away at
// once, not when the window of a lost connection is over.
func TestCancelReachesOwner(t *testing.T) {
	for name, fault := range map[string]func(b *bench){
		"connection works": func(*bench) {},
		"silent":           func(b *bench) { b.network.Silence() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					time.Sleep(3500 * time.Millisecond)
					fault(b)
					cancel()
				}()
				sink, _ := collect()
				err := b.client.Forward(ctx, ownerAddress, newCall(), sink)
				must.ErrorIs(t, err, snipeerror.ErrCanceled)
				must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
				synctest.Wait()
				must.Zero(t, b.handler.InFlight())
			})
		})
	}
}

// TestWindowEnds: a hop that nobody resumes is cancelled after the window.
func TestWindowEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.handler.Execute = execute(1000)
		ctx, cancel := context.WithCancel(t.Context())
		b.client.Fresh = snipeupstream.NewFresh((&snipestand.Network{}).Dial)
		b.client.HTTP = snipeupstream.NewPooled(b.network.Dial)
		go func() {
			time.Sleep(3500 * time.Millisecond)
			cancel()
		}()
		sink, _ := collect()
		must.ErrorIs(t, b.client.Forward(ctx, ownerAddress, newCall(), sink), snipeerror.ErrCanceled)
		time.Sleep(9 * time.Second)
		must.Eq(t, 1, b.handler.InFlight())
		time.Sleep(2 * time.Second)
		must.Zero(t, b.handler.InFlight())
	})
}

func TestForwardFails(t *testing.T) {
	cases := map[string]struct {
		prepare func(b *bench, c *snipecall.Call)
		kind    error
		outcome snipeerror.Outcome
		chunks  int
	}{
		"nobody listens": {
			func(b *bench, _ *snipecall.Call) {
				b.client.HTTP = snipeupstream.NewPooled((&snipestand.Network{}).Dial)
			},
			snipeerror.ErrNoUpstream, snipeerror.NotRun, 0,
		},
		"wrong secret": {
			func(b *bench, _ *snipecall.Call) { b.client.Secret = "other" },
			snipeerror.ErrUnauthenticated, snipeerror.NotRun, 0,
		},
		"body too large": {
			func(_ *bench, c *snipecall.Call) { c.Body = make([]byte, 101) },
			snipeerror.ErrTooLarge, snipeerror.NotRun, 0,
		},
		"too many calls": {
			func(b *bench, _ *snipecall.Call) { b.handler.MaxCalls = 0 },
			snipeerror.ErrOverloaded, snipeerror.NotRun, 0,
		},
		"owner restarted": {
			func(b *bench, _ *snipecall.Call) {
				go func() {
					time.Sleep(3500 * time.Millisecond)
					_ = b.server.Close()
					b.handler = &Handler{Secret: "s"}
					b.serve()
				}()
			},
			snipeerror.ErrIncomplete, snipeerror.MayHaveRun, 3,
		},
		"owner gone": {
			func(b *bench, _ *snipecall.Call) {
				go func() {
					time.Sleep(3500 * time.Millisecond)
					_ = b.server.Close()
				}()
			},
			snipeerror.ErrIncomplete, snipeerror.MayHaveRun, 3,
		},
		"typed failure in the middle": {
			func(b *bench, _ *snipecall.Call) {
				b.handler.Execute = func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
					_ = sink(snipecall.Chunk{Sequence: 1, Data: []byte("chunk 1")})
					return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "other adapter")
				}
			},
			snipeerror.ErrMismatch, snipeerror.MayHaveRun, 1,
		},
		"deadline": {
			func(_ *bench, c *snipecall.Call) { c.Deadline = time.Now().Add(2500 * time.Millisecond) },
			snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				call := newCall()
				c.prepare(b, call)
				sink, got := collect()
				err := b.client.Forward(t.Context(), ownerAddress, call, sink)
				must.ErrorIs(t, err, c.kind)
				must.Eq(t, c.outcome, snipeerror.From(err).Outcome)
				must.Len(t, c.chunks, *got)
			})
		})
	}
}

// TestAnswerOfOtherAdapter: an owner that answers for another adapter is not
// listened to.
func TestAnswerOfOtherAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(adapterHeader, "ash/plume@1")
			_, _ = w.Write([]byte("id: 1\nevent: Last\ndata: x\n\n"))
		})
		sink, got := collect()
		must.ErrorIs(t, b.client.Forward(t.Context(), ownerAddress, newCall(), sink), snipeerror.ErrMismatch)
		must.SliceEmpty(t, *got)
	})
}

// TestNonIdempotentOnFreshConnection: a kept connection that has gone silent
// never gets a call that may not be repeated.
func TestNonIdempotentOnFreshConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		sink, _ := collect()
		must.NoError(t, b.client.Forward(t.Context(), ownerAddress, newCall(), sink))
		synctest.Wait()
		b.network.Silence()
		call := newCall()
		call.Idempotent = false
		start := time.Now()
		again, got := collect()
		must.NoError(t, b.client.Forward(t.Context(), ownerAddress, call, again))
		must.Eq(t, wholeAnswer(10), *got)
		must.Eq(t, 10*time.Second, time.Since(start))
		must.Eq(t, 2, b.network.Opened())
	})
}

// TestBoundedMemory: a hop that nobody reads keeps no more than its bound.
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

// TestLargeWholeAnswer: an answer that is not streamed may be larger than a
// chunk, also when its connection breaks.
func TestLargeWholeAnswer(t *testing.T) {
	for name, cut := range map[string]bool{"no fault": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				data := make([]byte, 8<<20)
				b.handler.Execute = func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
					if cut {
						time.Sleep(time.Second)
						b.network.Cut()
						synctest.Wait()
					}
					return sink(snipecall.Chunk{Sequence: 1, Status: 200, ContentType: "text/plain", Data: data, Last: true})
				}
				size := 0
				must.NoError(t, b.client.Forward(t.Context(), ownerAddress, newCall(), func(c snipecall.Chunk) error {
					size = len(c.Data)
					return nil
				}))
				must.Eq(t, len(data), size)
			})
		})
	}
}

// TestRefusalOnKeptConnection: the bound on writes of an earlier hop does not
// cut a refusal on the same connection, which would read as "may have run".
func TestRefusalOnKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		sink, _ := collect()
		must.NoError(t, b.client.Forward(t.Context(), ownerAddress, newCall(), sink))
		time.Sleep(20 * time.Second)
		b.client.Secret = "other"
		err := b.client.Forward(t.Context(), ownerAddress, newCall(), sink)
		must.ErrorIs(t, err, snipeerror.ErrUnauthenticated)
		must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
		must.Eq(t, 1, b.network.Opened())
	})
}

// TestSlowEntry: an entry that does not read for longer than a write to it may
// take gets the whole answer all the same.
func TestSlowEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		// A paused clock does not go on while a beat waits for the session's lock.
		b.handler.Beat = time.Hour
		sink, got := collect()
		must.NoError(t, b.client.Forward(t.Context(), ownerAddress, newCall(), func(c snipecall.Chunk) error {
			if c.Sequence == 3 {
				time.Sleep(8 * time.Second)
			}
			return sink(c)
		}))
		must.Eq(t, wholeAnswer(10), *got)
	})
}
