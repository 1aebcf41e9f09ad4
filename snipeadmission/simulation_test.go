package snipeadmission_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
)

const (
	instances    = 80
	slots        = 6
	queueLimit   = 24
	serviceTime  = 30 * time.Millisecond
	timeout      = 800 * time.Millisecond
	target       = 150 * time.Millisecond
	link         = 500 * time.Microsecond
	lifetime     = time.Second
	slowFactor   = 2.5
	slowShare    = 0.15
	slowLength   = 600 * time.Millisecond
	outlierShare = 0.01
	outlier      = 5
)

// server is the stand-in of an upstream: six slots and a queue of 24 beyond which it refuses. In
// random periods it is slower, and states so as its pace.
type server struct {
	id    string
	speed float64 // factor of the service time

	lock    sync.Mutex
	free    [slots]time.Time // when each slot becomes free
	starts  []time.Time      // of the requests that wait
	ends    []time.Time
	gone    bool
	arrived int
	refused int
}

// slow tells whether the server is in a slow period, which it draws every slowLength.
func (s *server) slow(periods []bool, since time.Duration) bool {
	return periods[int(since/slowLength)%len(periods)]
}

func after(times []time.Time, now time.Time) []time.Time {
	var left []time.Time
	for _, t := range times {
		if t.After(now) {
			left = append(left, t)
		}
	}
	return left
}

// simulation is a run of a load pattern against three servers.
type simulation struct {
	servers  []*server
	slow     map[string][]bool
	begun    time.Time
	length   time.Duration
	rate     func(time.Duration) float64 // arrivals a second
	seed     uint64
	admit    admission
	returns  bool // refused callers come back at the named time
	noPace   bool
	shape    func(n int, at time.Duration, r *snipeadmission.Request)
	fault    func(instance int, at time.Duration) fault
	lock     sync.Mutex
	outcomes []outcome
}

type fault int

const (
	healthy fault = iota
	dead          // stops for good while it waits for a permit
	cutOff        // its message to the coordinator is lost when the request ends
	frozen        // is stopped for 3 s while a request runs
	absent        // asks for nothing, because of an earlier fault
)

// admission is the way to share the upstreams that is under test. release is nil if the request is
// refused.
type admission func(ctx context.Context, r snipeadmission.Request) (upstream string, release func(snipeadmission.Result), err error)

// outcome is what became of a request.
type outcome struct {
	at      time.Duration
	request snipeadmission.Request
	served  bool
	took    time.Duration
	// refused tells whether the admission refused the last try, and waited how long that took.
	refused    bool
	waited     time.Duration
	retryAfter time.Duration
	// returns counts how often the caller came back, and firstReturn tells whether the first return
	// was served.
	returns     int
	firstReturn bool
}

// newSimulation returns a simulation of three servers of unequal speed. The random numbers are drawn
// from the seed.
func newSimulation(seed uint64) *simulation {
	s := &simulation{length: 20 * time.Second, seed: seed, slow: map[string][]bool{}}
	for i, speed := range []float64{0.7, 1, 1.5} {
		v := &server{id: string(rune('a' + i)), speed: speed}
		s.servers = append(s.servers, v)
	}
	s.drawSlow()
	return s
}

// slower makes a server slower for good after a time.
func (s *simulation) slower(i int, factor float64, at time.Duration) {
	time.AfterFunc(at, func() {
		s.servers[i].lock.Lock()
		s.servers[i].speed *= factor
		s.servers[i].lock.Unlock()
	})
}

func (s *simulation) drawSlow() {
	r := rand.New(rand.NewPCG(s.seed, 9))
	for _, v := range s.servers {
		periods := make([]bool, 100)
		for i := range periods {
			periods[i] = r.Float64() < slowShare
		}
		s.slow[v.id] = periods
	}
}

// capacity returns the requests a second that the servers can serve on average over the run.
func (s *simulation) capacity() float64 {
	sum := 0.0
	for _, v := range s.servers {
		mean := serviceTime.Seconds() * v.speed * (1 + outlierShare*(outlier-1))
		slow, periods := 0, int(s.length/slowLength)
		for _, is := range s.slow[v.id][:periods] {
			if is {
				slow++
			}
		}
		sum += slots / mean * (1 - float64(slow)/float64(periods)*(1-1/slowFactor))
	}
	return sum
}

func (s *simulation) upstreams() []snipeadmission.Upstream {
	var all []snipeadmission.Upstream
	for _, v := range s.servers {
		v.lock.Lock()
		if !v.gone {
			all = append(all, snipeadmission.Upstream{ID: v.id, Slots: slots})
		}
		v.lock.Unlock()
	}
	return all
}

// serve runs a request at a server; work is the service time at its usual speed. It returns when the
// answer is there, or ctx ends.
func (s *simulation) serve(ctx context.Context, id string, work float64) (snipeadmission.Result, bool) {
	began := time.Now()
	time.Sleep(link)
	var v *server
	for _, x := range s.servers {
		if x.id == id {
			v = x
		}
	}
	v.lock.Lock()
	if v.gone {
		v.lock.Unlock()
		return snipeadmission.Result{Outcome: snipeadmission.OutcomeUnreachable}, false
	}
	now := time.Now()
	v.arrived++
	if v.starts = after(v.starts, now); len(v.starts) >= queueLimit {
		v.refused++
		l := s.load(v, now)
		v.lock.Unlock()
		time.Sleep(link)
		return snipeadmission.Result{Outcome: snipeadmission.OutcomeRefused, Load: &l}, false
	}
	first := 0
	for i, t := range v.free {
		if t.Before(v.free[first]) {
			first = i
		}
	}
	start := v.free[first]
	if start.Before(now) {
		start = now
	}
	factor := v.speed
	if v.slow(s.slow[v.id], start.Sub(s.begun)) {
		factor *= slowFactor
	}
	end := start.Add(time.Duration(work * factor * float64(serviceTime)))
	v.free[first] = end
	v.starts, v.ends = append(v.starts, start), append(v.ends, end)
	v.lock.Unlock()
	select {
	case <-time.After(time.Until(end) + link):
	case <-ctx.Done():
		return snipeadmission.Result{Outcome: snipeadmission.OutcomeCanceled, Took: time.Since(began)}, false
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	l := s.load(v, time.Now())
	return snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: time.Since(began), Load: &l}, true
}

// load returns the load report of a server.
func (s *simulation) load(v *server, now time.Time) snipeadmission.Load {
	v.starts, v.ends = after(v.starts, now), after(v.ends, now)
	l := snipeadmission.Load{Running: len(v.ends) - len(v.starts), Waiting: len(v.starts), Slots: slots, Pace: 1, Age: link}
	if v.slow(s.slow[v.id], now.Sub(s.begun)) {
		l.Pace = slowFactor
	}
	if s.noPace {
		l.Pace = 0
	}
	return l
}

// run sends the requests and waits for their ends.
func (s *simulation) run() {
	s.begun = time.Now()
	r := rand.New(rand.NewPCG(s.seed, 1))
	var all sync.WaitGroup
	for n := 0; ; n++ {
		at := time.Since(s.begun)
		if at >= s.length {
			break
		}
		time.Sleep(time.Duration(r.ExpFloat64() / s.rate(at) * float64(time.Second)))
		work := math.Exp(0.472*r.NormFloat64()) / math.Exp(0.472*0.472/2)
		if r.Float64() < outlierShare {
			work *= outlier
		}
		now := time.Now()
		q := snipeadmission.Request{Workspace: "w", Tokens: 1, Target: now.Add(target), Deadline: now.Add(timeout)}
		holder := r.IntN(instances)
		q.Instance = instanceName(holder)
		if s.shape != nil {
			s.shape(n, now.Sub(s.begun), &q)
		}
		all.Go(func() {
			o := s.call(q, holder, work)
			s.lock.Lock()
			s.outcomes = append(s.outcomes, o)
			s.lock.Unlock()
		})
	}
	all.Wait()
}

func instanceName(n int) string { return "i" + string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// call is the whole life of a request, with the returns of its caller.
func (s *simulation) call(q snipeadmission.Request, holder int, work float64) outcome {
	began := time.Now()
	o := outcome{at: began.Sub(s.begun), request: q}
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
	defer cancel()
	for {
		o.refused = false
		o.served = s.try(ctx, q, holder, work, &o)
		o.took = time.Since(began)
		if o.returns == 1 {
			o.firstReturn = o.served
		}
		if !o.refused || !s.returns || o.retryAfter > time.Until(q.Deadline)/3 {
			return o
		}
		o.returns++
		time.Sleep(o.retryAfter)
		holder = (holder + 1) % instances
		q.Instance = instanceName(holder)
		q.Target = time.Now().Add(target)
	}
}

// try asks for admission and sends the request until it is served or refused.
func (s *simulation) try(ctx context.Context, q snipeadmission.Request, holder int, work float64, o *outcome) bool {
	arrived := time.Now()
	for {
		f := healthy
		if s.fault != nil {
			f = s.fault(holder, time.Since(s.begun))
		}
		if f == absent {
			return false
		}
		time.Sleep(link)
		id, release, err := s.admit(ctx, q)
		if err != nil {
			time.Sleep(link)
			var refusal *snipeadmission.RefusedError
			if o.refused = errors.As(err, &refusal); o.refused {
				o.waited, o.retryAfter = time.Since(arrived)-2*link, refusal.RetryAfter
			}
			return false
		}
		time.Sleep(link)
		if f == dead {
			return false
		}
		result, served := s.serve(ctx, id, work)
		if f == frozen {
			time.Sleep(3 * time.Second)
		}
		go func() {
			time.Sleep(link)
			if f != cutOff {
				release(result)
			}
		}()
		if served || ctx.Err() != nil {
			return served
		}
		q.Arrived, q.Excluded = arrived, append(slices.Clip(q.Excluded), id)
	}
}

// by returns an admission by a coordinator.
func by(c *snipeadmission.Coordinator) admission {
	return func(ctx context.Context, r snipeadmission.Request) (string, func(snipeadmission.Result), error) {
		r.Excluded = r.Excluded[max(0, len(r.Excluded)-1):]
		p, err := c.Acquire(ctx, r)
		return p.Upstream, func(x snipeadmission.Result) { c.Release(p.ID, x) }, err
	}
}

// pacers returns an admission by a Pacer for each instance.
func pacers(s *simulation) admission {
	r := rand.New(rand.NewPCG(s.seed, 3))
	var lock sync.Mutex
	random := func() float64 {
		lock.Lock()
		defer lock.Unlock()
		return r.Float64()
	}
	byName := map[string]*snipeadmission.Pacer{}
	for i := range instances {
		byName[instanceName(i)] = &snipeadmission.Pacer{Upstreams: s.upstreams, Instances: func() int { return instances }, Random: random}
	}
	return func(ctx context.Context, q snipeadmission.Request) (string, func(snipeadmission.Result), error) {
		p := byName[q.Instance]
		q.Excluded = q.Excluded[max(0, len(q.Excluded)-1):]
		id, err := p.Acquire(ctx, q)
		return id, func(x snipeadmission.Result) { p.Release(id, x) }, err
	}
}

// tryInTurn returns the admission without a queue: each instance tries the upstreams one after
// another in a random order, and refuses when all have refused.
func tryInTurn(s *simulation) admission {
	r := rand.New(rand.NewPCG(s.seed, 4))
	var lock sync.Mutex
	return func(_ context.Context, q snipeadmission.Request) (string, func(snipeadmission.Result), error) {
		lock.Lock()
		defer lock.Unlock()
		left := slices.DeleteFunc(s.upstreams(), func(u snipeadmission.Upstream) bool { return slices.Contains(q.Excluded, u.ID) })
		if len(left) == 0 {
			return "", nil, &snipeadmission.RefusedError{Reason: snipeadmission.ReasonNoUpstream, RetryAfter: 20 * time.Millisecond}
		}
		return left[r.IntN(len(left))].ID, func(snipeadmission.Result) {}, nil
	}
}

// summary are the figures of a part of a run.
type summary struct {
	total int
	// inDeadline, inTarget and refused are shares of all requests, inTargetOfServed of those served.
	inDeadline, inTarget, refused, inTargetOfServed float64
	// turnedAway is the share of the arrivals at the servers in the whole run that they refused.
	turnedAway float64
	// afterWait is the share of the refusals that came after a wait, and longest the longest wait.
	afterWait float64
	longest   time.Duration
	// returned counts the callers who came back, and firstReturn is the share of them whose first
	// return was served.
	returned    int
	firstReturn float64
}

// summary sums up the requests for which keep holds.
func (s *simulation) summary(keep func(outcome) bool) summary {
	var x summary
	var served, inTarget, refused, afterWait, firstReturn, arrived, turned float64
	for _, o := range s.outcomes {
		if !keep(o) {
			continue
		}
		x.total++
		if o.served {
			served++
			if o.took <= target {
				inTarget++
			}
		}
		if o.refused {
			refused++
			x.longest = max(x.longest, o.waited)
			if o.waited > time.Millisecond {
				afterWait++
			}
		}
		if o.returns > 0 {
			x.returned++
			if o.firstReturn {
				firstReturn++
			}
		}
	}
	for _, v := range s.servers {
		arrived += float64(v.arrived)
		turned += float64(v.refused)
	}
	n := float64(x.total)
	x.inDeadline, x.inTarget, x.refused, x.inTargetOfServed = served/n, inTarget/n, refused/n, inTarget/served
	x.afterWait, x.firstReturn, x.turnedAway = afterWait/max(1, refused), firstReturn/max(1, float64(x.returned)), turned/arrived
	return x
}

func all(outcome) bool { return true }
