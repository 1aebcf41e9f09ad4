package snipebalance

import (
	"time"

	"snipepitch.example/snipepitch/snipedirectory"
)

// maxAge stands for the age of what was never reported.
const maxAge = time.Hour

// Flight is a request that was sent to an upstream. Its methods are called by one goroutine.
type Flight struct {
	balancer *Balancer
	upstream *snipedirectory.Upstream
	demand   Demand
	weight   float64
	sentAt   time.Time

	// occupancy is the share of the slots that were occupied, pending the prompt tokens of other
	// requests, expected the time to the first event at the usual pace (to the answer for a plain
	// request), and pace the expected pace, all when the request was sent. waits is set if no slot
	// was free.
	occupancy, pending, expected, pace float64
	waits                              bool
	paceAge, reportAge                 time.Duration
	// first is set once the answer's first event has arrived, ended once the request has ended.
	first, ended bool
}

// Expectation is what was expected of a request when it was sent, and the age of what it was based on.
type Expectation struct {
	// Time is the expected time to the first event, or to the answer to a plain request.
	Time time.Duration
	// Pace is the expected pace, which Time includes. PaceAge is the age of the last stated pace, and
	// ReportAge that of the last report about the requests in flight.
	Pace               float64
	PaceAge, ReportAge time.Duration
}

// Start records that a request is sent to an upstream. The caller calls First at the first event of
// the answer, and End at the request's end.
func (b *Balancer) Start(u *snipedirectory.Upstream, d Demand) *Flight {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	m, s := b.model(u.Service), b.state(u.ID)
	slots := float64(max(u.Slots, 1))
	requests := s.requests.total(now, reportLifetime)
	f := &Flight{
		balancer: b, upstream: u, demand: d, weight: Weight(d.PromptTokens), sentAt: now,
		occupancy: min(requests/slots, 1), waits: requests >= slots,
		pending:  s.pending.total(now, pendingLifetime),
		expected: m.atUsualPace(s, u, &d, now), pace: s.pace.expected(now),
		paceAge: age(s.pace.statedAt, now), reportAge: age(s.requests.reportedAt, now),
	}
	s.service = u.Service
	s.weight.own += f.weight
	s.requests.own++
	s.pending.own += float64(d.PromptTokens)
	s.reserved.own += d.ReservedTokens
	return f
}

func age(at, now time.Time) time.Duration { return min(now.Sub(at), maxAge) }

// Expectation returns what was expected when the request was sent.
func (f *Flight) Expectation() Expectation {
	return Expectation{
		Time: time.Duration(f.expected * f.pace * float64(time.Second)), Pace: f.pace,
		PaceAge: f.paceAge, ReportAge: f.reportAge,
	}
}

// First records the first event of the answer: the prompt is processed, and delays no other request
// any more. Further calls do nothing. It returns true for the first call.
func (f *Flight) First() bool {
	if f.first {
		return false
	}
	f.first = true
	b := f.balancer
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	s := b.state(f.upstream.ID)
	s.pending.remove(float64(f.demand.PromptTokens))
	if f.demand.Plain {
		return true
	}
	took := now.Sub(f.sentAt).Seconds()
	if !f.waits {
		b.model(f.upstream.Service).observeFirst(f.occupancy, float64(f.demand.PromptTokens), f.pending, took/f.pace)
	}
	s.pace.observe(took/f.expected, now)
	return true
}

// End records the request's end. output is the number of output tokens of a whole answer; it is
// negative if the request got no whole answer. Further calls do nothing.
func (f *Flight) End(output int) {
	if f.ended {
		return
	}
	f.ended = true
	b := f.balancer
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	if s := b.states[f.upstream.ID]; s != nil {
		s.weight.remove(f.weight)
		s.requests.remove(1)
		s.reserved.remove(f.demand.ReservedTokens)
		if !f.first {
			s.pending.remove(float64(f.demand.PromptTokens))
		}
		if f.demand.Plain && output >= 0 {
			s.pace.observe(now.Sub(f.sentAt).Seconds()/f.expected, now)
		}
	}
	if output < 0 {
		return
	}
	m := b.model(f.upstream.Service)
	if !f.waits {
		m.observeRequest(now.Sub(f.sentAt).Seconds() / f.pace)
	}
	if !f.demand.Plain && output > 0 {
		m.observeOutput(float64(output))
	}
}
