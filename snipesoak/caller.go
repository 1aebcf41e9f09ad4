package snipesoak

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	random "math/rand/v2"
	"net/http"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

// kind is a kind of request.
type kind struct {
	prefix string
	// once requests may run once at most.
	once   bool
	stream bool
}

func (k kind) String() string { return k.prefix }

var kinds = []kind{
	{"/once/", true, false}, {"/often/", false, false}, {"/draft/", false, true}, {"/final/", true, true},
}

// The callers' workspace and its key. One request in strangers comes with another key.
const (
	workspace = "soaked"
	key       = "key-of-the-soak"
	wrongKey  = "key-of-nobody"
	strangers = 25
)

// call is what a caller has seen of a request.
type call struct {
	kind kind
	// stranger tells that its key was declared by nobody.
	stranger bool
	status   int
	// refused tells that the caller was told that the request has not run.
	refused bool
}

// patience is how long a caller waits for an answer.
const patience = 4 * time.Second

// caller sends requests one after another, over connections that it keeps.
func (s *Soak) caller(ctx context.Context, n int) {
	r := random.New(random.NewPCG(s.Seed, uint64(n)+1)) //nolint:gosec // the same calls for the same seed
	for ctx.Err() == nil {
		i, k := s.instances[r.IntN(len(s.instances))], kinds[r.IntN(len(kinds))]
		s.ask(ctx, i, k, r, r.IntN(strangers) == 0)
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}

// ask sends a request, checks its answer and reports whether it was served.
func (s *Soak) ask(ctx context.Context, i *instance, k kind, r *random.Rand, stranger bool) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	id := rand.Text()
	body := "order " + id
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+k.prefix+id, strings.NewReader(body))
	if err != nil {
		s.breach("the soak itself", "%v", err)
		return false
	}
	q.GetBody = nil // so that net/http sends nothing again by itself
	q.Host = host
	model := ""
	if k.stream {
		model = fmt.Sprint("base/a", r.IntN(adapters))
	}
	callerKey := key
	if stranger {
		callerKey = wrongKey
	}
	snipestand.CallerHeader(q.Header, id, callerKey, patience, model)
	s.lock.Lock()
	s.senders[id] = i.name
	s.lock.Unlock()
	answer, err := client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	s.judge(id, call{kind: k, stranger: stranger}, answer, string(data), err)
	return err == nil && answer.StatusCode == http.StatusOK
}

// judge checks one answer.
func (s *Soak) judge(id string, c call, answer *http.Response, body string, broken error) {
	c.status = answer.StatusCode
	switch answer.StatusCode {
	case http.StatusOK:
		s.judgeBody(id, c.kind, body, broken)
	case http.StatusUnauthorized:
		if !c.stranger {
			s.breach("declared keys are known", "%s: %s", id, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
		c.refused = true
		if answer.Header.Get("Retry-After") == "" {
			s.breach("a refusal tells when to come back", "%s: %s", id, body)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	default:
		s.breach("proper requests are not denied", "%s: status %d: %s", id, answer.StatusCode, body)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.calls[id] = c
	if c.status == http.StatusOK && broken == nil {
		s.answered++
	}
}

// judgeBody checks the body of an answer to a request that was run.
func (s *Soak) judgeBody(id string, k kind, body string, broken error) {
	want := "POST " + k.prefix + id + " order " + id
	if k.stream {
		want = stream()
	}
	if broken == nil && body != want {
		s.breach("own and whole answer", "%s: %q", id, body)
	}
	if broken != nil && !strings.HasPrefix(want, body) {
		s.breach("what breaks off is the answer's beginning", "%s: %q", id, body)
	}
}

func stream() string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// audit checks what upstreams have run and who has ordered them.
func (s *Soak) audit() {
	ran := map[string]int{}
	for _, r := range s.runners {
		for id, n := range r.Ran() {
			ran[id] += n
		}
		s.auditKeys(r)
		s.auditSignals(r)
		s.auditOrders(r.ID, r)
	}
	for id, c := range s.calls {
		if c.stranger && ran[id] > 0 {
			s.breach("nothing runs without a key", "%s %s ran", c.kind, id)
		}
		if c.kind.once && ran[id] > 1 {
			s.breach("at most once", "%s %s ran %d times", c.kind, id, ran[id])
		}
		if c.refused && c.kind.once && ran[id] > 0 {
			s.breach("told not run, was not run", "%s %s: status %d", c.kind, id, c.status)
		}
	}
}

// auditKeys checks that requests came for the callers' workspace, and no key with them.
func (s *Soak) auditKeys(r *runner) {
	runs, keys := r.Workspaces()
	if keys > 0 {
		s.breach("keys stay here", "%s: %d requests with a key", r.ID, keys)
	}
	for name, n := range runs {
		if name != workspace {
			s.breach("what runs is a workspace's", "%s: %d requests of %q", r.ID, n, name)
		}
	}
}

// auditOrders checks that no more was ordered than fits, that fencing numbers grow,
// and that no two instances took turns.
func (s *Soak) auditOrders(engine string, r *runner) {
	orders, overfull := r.Taken()
	if overfull > 0 {
		s.breach("never more adapters than fit", "%s: %d times", engine, overfull)
	}
	last := map[string]time.Time{}
	for n, o := range orders {
		if s.justThawed(o.Holder, o.At) {
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

// justThawed reports whether a process had gone on a moment before.
func (s *Soak) justThawed(name string, at time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, t := range s.thawed[name] {
		if d := at.Sub(t); d >= 0 && d < thawSlack {
			return true
		}
	}
	return false
}
