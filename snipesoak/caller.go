package snipesoak

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	random "math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
)

// requestKind is a kind of request, named by its route's path prefix.
type requestKind struct {
	prefix string
	// once is set for requests that may run at most once.
	once bool
	// stream is set for requests to an engine whose answer is a stream of events.
	stream bool
	// resumable is set for streams that may be taken up after their last event.
	resumable bool
}

func (k requestKind) String() string { return k.prefix }

// service returns the service of the kind's route.
func (k requestKind) service() string {
	if k.stream {
		return engineService
	}
	return plainService
}

var requestKinds = []requestKind{
	{"/once/", true, false, false},
	{"/often/", false, false, false},
	{"/draft/", false, true, true},
	{"/final/", true, true, false},
}

// The callers' workspace and its key. One request in wrongKeyOneIn is sent with wrongKey,
// which no workspace declares.
const (
	workspace     = "soaked"
	key           = "key-of-the-soak"
	wrongKey      = "key-of-nobody"
	wrongKeyOneIn = 25
)

// outcome is what a caller has observed of a request.
type outcome struct {
	kind requestKind
	// request identifies the request that the attempt was made for.
	request string
	// granted is set if the request used a grant, which may be taken away.
	granted bool
	// unknownKey is set if the request was sent with wrongKey.
	unknownKey bool
	status     int
	// refused is set if the answer states that the request has not run.
	refused bool
	// upstreamFailed is set if the answer bears the signature of an upstream, as of one that failed the request itself.
	upstreamFailed bool
}

// requestTimeout is how long a caller waits for an answer, and the deadline that it states.
const requestTimeout = 4 * time.Second

// runCaller sends requests one after another over kept connections until ctx ends. The number n
// makes the random source of each caller different.
func (s *Soak) runCaller(ctx context.Context, n int) {
	r := random.New(random.NewPCG(s.Seed, uint64(n)+1)) //nolint:gosec // the same calls for the same seed
	kinds := s.callerKinds()
	for ctx.Err() == nil {
		targets := *s.targets.Load()
		i, k := targets[r.IntN(len(targets))], kinds[r.IntN(len(kinds))]
		if s.judgesVersions() && (k.resumable || n%2 == 0) {
			s.readStream(ctx, i, r)
			continue
		}
		s.send(ctx, i, k, r, r.IntN(wrongKeyOneIn) == 0, s.drawGrant(r))
		if s.judgesRetries() {
			time.Sleep(retryPause)
		}
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: retryCallers, DisableCompression: true}}

// newID returns a new identifier of a request.
func newID() string { return rand.Text() }

// sendAttempt makes an attempt, with an identifier, for a request. It reports whether it was served, and whether its caller
// may make another attempt. An attempt without an answer leaves no outcome for the audit.
func (s *Soak) sendAttempt(ctx context.Context, i *instance, c callerRequest, id string, r *random.Rand, unknownKey bool) (served, again bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	k, adapter, callerKey := c.kind, 0, key
	if k.stream {
		adapter = r.IntN(s.adapterCount())
	}
	if c.grant != nil {
		callerKey = c.grant.key
	}
	if unknownKey {
		callerKey = wrongKey
	}
	q, err := s.newRequest(ctx, i, k, sent{id: id, path: c.id, body: "order " + c.id, key: callerKey, adapter: adapter})
	if err != nil {
		s.breach("the soak itself", "%v", err)
		return false, false
	}
	s.lock.Lock()
	s.requests[id] = c
	s.lock.Unlock()
	var u *use
	if !unknownKey {
		u = s.beginUse(i, c.grant, id)
	}
	answer, err := s.do(q, k, id)
	if err != nil {
		return false, mayRepeat(nil, err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	s.endUse(u, answer.StatusCode, err == nil)
	s.checkAnswer(id, outcome{kind: k, unknownKey: unknownKey, request: c.id, granted: c.grant != nil}, answer, string(data), err)
	return err == nil && answer.StatusCode == http.StatusOK, mayRepeat(answer, nil)
}

// refusedPause is how long a caller waits after an instance has refused its connection.
const refusedPause = 20 * time.Millisecond

// do sends a request with an identifier and records when, and if it got no answer, unless the instance accepts no connection.
func (s *Soak) do(q *http.Request, k requestKind, id string) (*http.Response, error) {
	at := time.Now()
	answer, err := client.Do(q)
	if errors.Is(err, syscall.ECONNREFUSED) {
		time.Sleep(refusedPause)
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if err != nil {
		s.noteUnanswered(unanswered{id: id, instance: s.senders[id], sent: at, err: err})
	}
	s.sentTimes[k.service()] = append(s.sentTimes[k.service()], at)
	return answer, err
}

// sent is what a caller sends beside the kind of its request.
type sent struct {
	id, path, body, key string
	adapter             int // of requests for an engine
	// part is the middle part of the prompt, of requests for an engine; a sound one if it is empty.
	part string
}

// newRequest returns a request to an instance and records the instance as its sender.
func (s *Soak) newRequest(ctx context.Context, i *instance, k requestKind, c sent) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+k.prefix+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	q.GetBody = nil // prevents retries by net/http
	q.Host = host
	model := ""
	if k.stream {
		model = fmt.Sprint("base/a", c.adapter)
	}
	snipestand.CallerHeader(q.Header, c.id, c.key, requestTimeout, model)
	if k.stream && s.judgesBrittle() {
		snipestand.PromptHeader(q.Header, promptParts(c.id, c.adapter, c.part))
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.senders[c.id] = i.name
	return q, nil
}

// checkAnswer checks one answer and records its outcome. readErr is the error from reading the
// body.
func (s *Soak) checkAnswer(id string, o outcome, answer *http.Response, body string, readErr error) {
	o.status = answer.StatusCode
	switch {
	case o.granted && denied(answer.StatusCode):
		// auditGrants checks whether it was allowed.
	case answer.StatusCode == http.StatusOK:
		s.checkBody(id, o, answer, body, readErr)
	case answer.StatusCode == http.StatusUnauthorized:
		if !o.unknownKey {
			s.breach("declared keys are known", "%s: %s", id, body)
		}
	case slices.Contains(refusals, answer.StatusCode):
		s.checkRefusal(id, &o, answer.Header, body)
	case slices.Contains(failures, answer.StatusCode):
	default:
		s.breach("proper requests are not denied", "%s: status %d: %s", id, answer.StatusCode, body)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.outcomes[id] = o
	if o.status == http.StatusOK && readErr == nil {
		s.answered++
	}
}

// checkRefusal checks an answer with the status of a refusal. A request that may be repeated may get the failure of an upstream
// that has run it, with this upstream's signature.
func (s *Soak) checkRefusal(id string, o *outcome, h http.Header, body string) {
	o.refused = true
	o.upstreamFailed = !o.kind.once && snipestand.Signed(h)
	if h.Get("Retry-After") == "" && !o.upstreamFailed {
		s.breach("a refusal tells when to come back", "%s: %s", id, body)
	}
}

// refusals are the statuses of refusals, failures those of requests that may have run.
var (
	refusals = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}
	failures = []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError}
)

// checkBody checks the body of an answer with status 200. If the body could not be read to its
// end, what was read must be the beginning of the right answer.
func (s *Soak) checkBody(id string, o outcome, answer *http.Response, body string, readErr error) {
	k := o.kind
	want := "POST " + k.prefix + o.request + " order " + o.request
	if k.stream {
		want, body = s.streamBody(), withoutSoftware(body)
	}
	switch proved := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0; {
	case readErr != nil:
		if !strings.HasPrefix(want, body) {
			s.breach("what breaks off is the answer's beginning", "%s: %q", id, body)
		}
	case !proved && !rangeOf(s.Seed).unframed:
		s.breach("an answer's framing is its upstream's", "%s ends with its connection", id)
	case !proved && k.stream:
		// An upstream that crashes closes the connection, between two events too, which nobody can tell from
		// the end of its stream.
		if !strings.HasPrefix(want, body) || !strings.HasSuffix(body, eventEnd) {
			s.breach("whole events", "%s: %q", id, body)
		}
	case body != want:
		s.breach("own and whole answer", "%s: %q", id, body)
	}
}

// eventEnd ends each event of a stream.
const eventEnd = "\n\n"

// streamBody returns the whole body of a streamed answer, without software versions.
func (s *Soak) streamBody() string {
	var b strings.Builder
	for n := 1; n <= s.streamEvents(); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// audit checks which requests the upstreams have run, answered or not, and which requests and orders each upstream has received.
// What must be known of an answer is checked of the answered requests alone.
func (s *Soak) audit() {
	ran := map[string]int{}
	for _, r := range s.runners {
		for id, n := range r.RunCounts() {
			ran[id] += n
		}
		s.auditKeys(r)
		s.auditSignals(r)
		s.auditOrders(r.ID, r)
	}
	s.auditCrashes()
	s.auditBrittle()
	s.auditParts()
	s.auditRetries()
	s.auditRuns()
	s.auditStreams()
	s.auditGrants()
	s.auditUnanswered(ran)
	s.auditOutcomes(ran)
}

// auditOutcomes checks what callers were told against the number of runs of their requests.
func (s *Soak) auditOutcomes(ran map[string]int) {
	for id, o := range s.outcomes {
		if o.unknownKey && ran[id] > 0 {
			s.breach("nothing runs without a key", "%s %s ran", o.kind, id)
		}
		if o.kind.once && ran[id] > 1 {
			s.breach("at most once", "%s %s ran %d times", o.kind, id, ran[id])
		}
		if o.upstreamFailed && ran[id] == 0 {
			s.breach("only an upstream's failure bears its signature", "%s %s: status %d", o.kind, id, o.status)
		}
		if o.refused && o.kind.once && ran[id] > 0 {
			s.breach("told not run, was not run", "%s %s: status %d", o.kind, id, o.status)
		}
	}
}

// auditKeys checks that the upstream ran requests of the callers' workspace only and received no
// keys.
func (s *Soak) auditKeys(r *runner) {
	runs, keys := r.Workspaces()
	if keys > 0 {
		s.breach("keys stay here", "%s: %d requests with a key", r.ID, keys)
	}
	for name, n := range runs {
		if name != workspace && !slices.ContainsFunc(s.grants, func(g *grant) bool { return g.workspace == name }) {
			s.breach("what runs is a workspace's", "%s: %d requests of %q", r.ID, n, name)
		}
	}
}

// auditOrders checks that no more adapters were ordered than fit and that fencing numbers do not
// fall. It also checks that owners do not alternate: after an order of another instance, an instance
// must not order again until orderGap has passed since its own last order. The last two checks ignore
// the orders of a process that has just been resumed.
func (s *Soak) auditOrders(engine string, r *runner) {
	orders, overfull := r.AcceptedOrders()
	if overfull > 0 {
		s.breach("never more adapters than fit", "%s: %d times", engine, overfull)
	}
	last := map[string]time.Time{}
	for n, o := range orders {
		if s.justResumed(o.Holder, o.At) {
			continue
		}
		if n > 0 && o.Fence < orders[n-1].Fence {
			s.breach("fencing numbers grow", "%s: %+v after %+v", engine, o, orders[n-1])
		}
		if n > 0 && o.Holder != orders[n-1].Holder && !last[o.Holder].IsZero() && o.At.Sub(last[o.Holder]) < orderGap {
			s.breach("owners do not take turns", "%s: %s again after %s", engine, o.Holder, orders[n-1].Holder)
		}
		last[o.Holder] = o.At
	}
}

// justResumed reports whether a frozen process was resumed less than resumeGrace before at.
func (s *Soak) justResumed(name string, at time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, t := range s.resumed[name] {
		if d := at.Sub(t); d >= 0 && d < resumeGrace {
			return true
		}
	}
	return false
}
