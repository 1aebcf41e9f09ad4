package snipeclaim_test

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeclaim"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
)

var errGone = errors.New("caller has gone away")

// cluster is a group of instances that share a table, with an upstream that counts its
// runs.
type cluster struct {
	t      *testing.T
	table  *snipestand.Table
	claims []*snipeclaim.Claims

	lock     sync.Mutex // guards the fields below
	runs     int
	answer   string
	failures []error
	dead     map[string]bool
	// before runs ahead of a dispatch, during after the call was sent.
	before, during func()
	background     sync.WaitGroup
}

func newCluster(t *testing.T) *cluster {
	cl := &cluster{t: t, table: snipestand.NewTable(), answer: "done", dead: map[string]bool{}}
	for _, name := range []string{"one", "two", "three", "four"} {
		cl.claims = append(cl.claims, cl.instance(name, cl.table.Client()))
	}
	return cl
}

func (cl *cluster) instance(name string, table snipeplatform.Table) *snipeclaim.Claims {
	c := &snipeclaim.Claims{
		Table: table, SweepTable: table, Instance: name, Dispatch: cl.dispatch, SweepInterval: time.Second, Timeout: 2 * time.Second,
		IsLive: func(instance string) bool {
			cl.lock.Lock()
			defer cl.lock.Unlock()
			return !cl.dead[instance]
		},
		SweepsPartition: func(string) bool { return true }, Operation: rand.Text, Log: snipelog.Discard(),
	}
	c.Serve = func(ctx context.Context, call *snipecall.Call, sink snipecall.Sink) error {
		cl.runHook(&cl.before)
		return c.Execute(ctx, call, sink)
	}
	return c
}

func (cl *cluster) setHook(hook *func(), f func()) {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	*hook = f
}

func (cl *cluster) runHook(hook *func()) {
	cl.lock.Lock()
	f := *hook
	cl.lock.Unlock()
	if f != nil {
		f()
	}
}

func (cl *cluster) kill(instance string) {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	cl.dead[instance] = true
}

func (cl *cluster) dispatch(ctx context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
	cl.lock.Lock()
	if len(cl.failures) > 0 {
		err := cl.failures[0]
		cl.failures = cl.failures[1:]
		cl.lock.Unlock()
		return err
	}
	cl.runs++
	answer := cl.answer
	cl.lock.Unlock()
	cl.runHook(&cl.during)
	if ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, "in the middle")
	}
	return sink(snipecall.Chunk{Sequence: 1, Status: 200, ContentType: "text/plain", Data: []byte(answer), Last: true})
}

func newCall(body string) *snipecall.Call {
	return &snipecall.Call{
		Team: "t", Service: "orders", Method: "POST", Path: "/order", Key: "k", Body: []byte(body),
		Deadline: time.Now().Add(time.Minute),
	}
}

// send sends the call through instance n and returns the answer.
func (cl *cluster) send(n int, body string) (string, error) {
	var out strings.Builder
	err := cl.claims[n].Call(cl.t.Context(), newCall(body), func(k snipecall.Chunk) error {
		out.Write(k.Data)
		return nil
	})
	return out.String(), err
}

// sendInBackground sends the call through instance n in a goroutine.
func (cl *cluster) sendInBackground(n int) { cl.background.Go(func() { _, _ = cl.send(n, "body") }) }

// TestAtMostOnce checks the result of a call that is sent through another instance after
// the first attempt met a fault, and how often it has run. It guards against a second run.
func TestAtMostOnce(t *testing.T) {
	hang := func() { time.Sleep(30 * time.Second) }
	notRun := snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "x")
	mayHaveRun := snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "x")
	tests := map[string]struct {
		prepare func(cl *cluster)
		body    string
		// kind, outcome and answer are the result of the repetition through another
		// instance; runs is how often the call has run in total.
		kind    error
		outcome snipeerror.Outcome
		answer  string
		runs    int
	}{
		"alone":            {prepare: func(*cluster) {}, answer: "done", runs: 1},
		"after the answer": {prepare: func(cl *cluster) { _, _ = cl.send(0, "body") }, answer: "done", runs: 1},
		"after a large answer": {prepare: func(cl *cluster) {
			cl.answer = strings.Repeat("x", snipeclaim.MaxKept+1)
			_, _ = cl.send(0, "body")
		}, kind: snipeerror.ErrDuplicate, outcome: snipeerror.MayHaveRun, runs: 1},
		"another body": {
			prepare: func(cl *cluster) { _, _ = cl.send(0, "body") }, body: "other",
			kind: snipeerror.ErrBadRequest, outcome: snipeerror.NotRun, runs: 1,
		},
		"in flight before the dispatch": {func(cl *cluster) {
			cl.setHook(&cl.before, hang)
			cl.sendInBackground(0)
			time.Sleep(time.Second)
		}, "", snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "", 1},
		"in flight after the dispatch": {func(cl *cluster) {
			cl.setHook(&cl.during, hang)
			cl.sendInBackground(0)
			time.Sleep(time.Second)
		}, "", snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "", 1},
		"claimant killed before the dispatch": {func(cl *cluster) {
			cl.setHook(&cl.before, hang)
			cl.sendInBackground(0)
			time.Sleep(time.Second)
			cl.setHook(&cl.before, nil)
			cl.kill("one")
		}, "", nil, "", "done", 1},
		"claimant killed after the dispatch": {func(cl *cluster) {
			cl.setHook(&cl.during, hang)
			cl.sendInBackground(0)
			time.Sleep(time.Second)
			cl.kill("one")
		}, "", snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "", 1},
		"claimant paused before the dispatch, past its claim": {func(cl *cluster) {
			cl.setHook(&cl.before, hang)
			cl.sendInBackground(0)
			time.Sleep(20 * time.Second)
			cl.setHook(&cl.before, nil)
		}, "", nil, "", "done", 1},
		"not run by the upstream": {func(cl *cluster) {
			cl.failures = []error{notRun}
			_, err := cl.send(0, "body")
			must.ErrorIs(cl.t, err, snipeerror.ErrNoUpstream)
		}, "", nil, "", "done", 1},
		"may have run at the upstream": {func(cl *cluster) {
			cl.failures = []error{mayHaveRun}
			_, err := cl.send(0, "body")
			must.ErrorIs(cl.t, err, snipeerror.ErrIncomplete)
		}, "", snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "", 0},
		"table down":           {func(cl *cluster) { cl.stopTable() }, "", snipeerror.ErrUnavailable, snipeerror.NotRun, "", 0},
		"table slow":           {func(cl *cluster) { cl.slowTable() }, "", snipeerror.ErrUnavailable, snipeerror.NotRun, "", 0},
		"replies lost":         {func(cl *cluster) { cl.table.SetFault(snipestand.TableFault{LoseReplies: 3}) }, "", nil, "", "done", 1},
		"all replies are lost": {func(cl *cluster) { cl.table.SetFault(snipestand.TableFault{LoseReplies: 1000}) }, "", snipeerror.ErrUnavailable, snipeerror.NotRun, "", 0},
		"table down before the dispatch": {func(cl *cluster) {
			cl.before = cl.stopTable
			_, err := cl.send(0, "body")
			must.ErrorIs(cl.t, err, snipeerror.ErrUnavailable)
			must.Eq(cl.t, snipeerror.NotRun, snipeerror.From(err).Outcome)
			cl.setHook(&cl.before, nil)
			cl.restoreTable()
			time.Sleep(5 * time.Second)
		}, "", nil, "", "done", 1},
		"table down before the answer": {func(cl *cluster) {
			cl.during = cl.stopTable
			answer, err := cl.send(0, "body")
			must.NoError(cl.t, err)
			must.Eq(cl.t, "done", answer)
			cl.restoreTable()
			cl.setHook(&cl.during, nil)
			time.Sleep(5 * time.Second)
		}, "", nil, "", "done", 1},
		"table down for long before the answer": {func(cl *cluster) {
			cl.during = cl.stopTable
			_, err := cl.send(0, "body")
			must.NoError(cl.t, err)
			time.Sleep(2 * time.Minute)
			cl.restoreTable()
		}, "", snipeerror.ErrDuplicate, snipeerror.MayHaveRun, "", 1},
		"caller gone in the middle": {func(cl *cluster) {
			ctx, cancel := context.WithCancel(cl.t.Context())
			cl.setHook(&cl.during, cancel)
			err := cl.claims[0].Call(ctx, newCall("body"), func(snipecall.Chunk) error { return errGone })
			must.NoError(cl.t, err)
		}, "", nil, "", "done", 1},
		"caller gone before the dispatch": {func(cl *cluster) {
			ctx, cancel := context.WithCancel(cl.t.Context())
			cl.setHook(&cl.before, cancel)
			err := cl.claims[0].Call(ctx, newCall("body"), func(snipecall.Chunk) error { return errGone })
			must.ErrorIs(cl.t, err, snipeerror.ErrCanceled)
			must.Eq(cl.t, snipeerror.NotRun, snipeerror.From(err).Outcome)
			cl.setHook(&cl.before, nil)
		}, "", nil, "", "done", 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t)
				tc.prepare(cl)
				synctest.Wait()
				if tc.body == "" {
					tc.body = "body"
				}
				began := time.Now()
				answer, err := cl.send(1, tc.body)
				must.Less(t, 5*time.Second, time.Since(began), must.Sprint("the answer was delayed"))
				must.Eq(t, tc.answer, answer)
				if tc.kind != nil {
					must.ErrorIs(t, err, tc.kind)
					must.Eq(t, tc.outcome, snipeerror.From(err).Outcome)
				} else {
					must.NoError(t, err)
				}
				cl.background.Wait()
				cl.claims[0].Wait()
				cl.claims[1].Wait()
				must.Eq(t, tc.runs, cl.runs)
			})
		})
	}
}

func (cl *cluster) stopTable()    { cl.table.SetFault(snipestand.TableFault{Down: true}) }
func (cl *cluster) restoreTable() { cl.table.SetFault(snipestand.TableFault{}) }
func (cl *cluster) slowTable()    { cl.table.SetFault(snipestand.TableFault{Delay: time.Minute}) }

// TestPausedPastRetention pauses a claimant whose Dispatched row took effect until the
// row has expired and was swept. It guards against a dispatch by this claimant after
// another attempt has run the call.
func TestPausedPastRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		table := cl.table.Client()
		pause := time.Duration(0)
		paused := table
		paused.Write = func(ctx context.Context, operation string, changes []snipeplatform.Change) error {
			err := table.Write(ctx, operation, changes)
			time.Sleep(pause)
			return err
		}
		cl.claims[0] = cl.instance("one", paused)
		cl.setHook(&cl.before, func() { pause = snipeclaim.Retention + 3*time.Hour })
		var first error
		cl.background.Go(func() { _, first = cl.send(0, "body") })
		ctx, cancel := context.WithCancel(t.Context())
		cl.background.Go(func() { _ = cl.claims[1].Run(ctx) })
		time.Sleep(snipeclaim.Retention + 2*time.Hour)
		cl.setHook(&cl.before, nil)
		_, err := cl.send(1, "body")
		must.NoError(t, err)
		cancel()
		cl.background.Wait()
		must.ErrorIs(t, first, snipeerror.ErrDeadline)
		must.Eq(t, snipeerror.NotRun, snipeerror.From(first).Outcome)
		must.Eq(t, 1, cl.runs)
	})
}

// TestReleasedAndClaimedAgain pauses an attempt that took over a key. Meanwhile the key
// goes to another attempt, is released, and is claimed and dispatched by a third one.
// It guards against a row version that restarts with the release, so that the paused
// attempt takes the row for its own.
func TestReleasedAndClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		cl.setHook(&cl.before, func() { time.Sleep(time.Hour) })
		cl.sendInBackground(0)
		time.Sleep(time.Second)
		cl.kill("one")
		cl.setHook(&cl.before, func() { time.Sleep(20 * time.Second) })
		cl.sendInBackground(1)
		time.Sleep(time.Second)
		cl.kill("two")
		cl.setHook(&cl.before, nil)
		cl.failures = []error{snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "x")}
		_, err := cl.send(2, "body")
		must.ErrorIs(t, err, snipeerror.ErrNoUpstream)
		cl.claims[2].Wait()
		cl.setHook(&cl.during, func() { time.Sleep(30 * time.Second) })
		answer, err := cl.send(3, "body")
		must.NoError(t, err)
		must.Eq(t, "done", answer)
		cl.background.Wait()
		must.Eq(t, 1, cl.runs)
	})
}
