package snipegateway

import (
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
)

// minReportedPrompt is the number of prompt tokens from which on the first event of an answer makes
// the use of its engine due for a report, so that other instances learn that the prompt no longer
// delays their requests. Shorter prompts are processed in less time than a report takes.
const minReportedPrompt = 2000

// pickPlain returns an upstream of a plain service and the number of usable ones to choose from.
func (c *Chooser) pickPlain(all []*snipedirectory.Upstream, untried snipebalance.Filter) (u *snipedirectory.Upstream, usable int) {
	if c.Balancer.Paced(all[0].Service) {
		return c.Balancer.PickExpected(all, untried, nil, snipebalance.Demand{Plain: true})
	}
	if u = c.Balancer.Pick(all, untried, nil); u == nil {
		return nil, 0
	}
	return u, c.countUsable(all, untried)
}

// pickEngine returns an eligible engine for a request: by expected time if the service's engines
// state paces, otherwise by load.
func (c *Chooser) pickEngine(service string, holders []*snipedirectory.Upstream, eligible snipebalance.Filter, q *Request) *snipedirectory.Upstream {
	extra := c.prefixCost(holders, eligible, q)
	if !c.Balancer.Paced(service) {
		return c.Balancer.Pick(holders, eligible, extra)
	}
	u, _ := c.Balancer.PickExpected(holders, eligible, extra, c.demand(service, q))
	return u
}

// demand returns what a request takes of an upstream of a service. An engine keeps the prompt and the
// output in memory until the request ends. The expected output is the caller's hint or the mean of
// the service, and at most the largest output that the caller states.
func (c *Chooser) demand(service string, q *Request) snipebalance.Demand {
	d := snipebalance.Demand{Plain: q.Adapter.Model == "", PromptTokens: q.PromptTokens}
	if d.Plain {
		return d
	}
	output := float64(q.LengthHint)
	if output == 0 {
		output = c.Balancer.MeanOutput(service)
	}
	if q.SizeStated && q.OutputTokens > 0 {
		output = min(output, float64(q.OutputTokens))
	}
	d.ExtraTokens = tokensPerRequest
	d.ReservedTokens, d.MemoryTokens = float64(q.PromptTokens)+output, c.memoryTokens(service)
	return d
}

// memoryTokens returns the tokens for which an engine of a service has memory; zero if the catalog
// does not state it.
func (c *Chooser) memoryTokens(service string) int {
	if e := c.Versions.Catalog().Engine(service); e != nil {
		return e.MemoryTokens
	}
	return 0
}

// slowerThanLoad reports whether a request is expected to be delayed at an engine for at least as
// long as it would wait for a load on another engine.
func (c *Chooser) slowerThanLoad(u *snipedirectory.Upstream) bool {
	return c.Balancer.ExpectedDelay(u) >= c.estimators.forService(u.Service).expectedLoadWait()
}

// memoryTaken reports whether the requests at an engine take more memory than it has.
func (c *Chooser) memoryTaken(u *snipedirectory.Upstream) bool {
	return c.Balancer.Exceeds(u, snipebalance.Demand{MemoryTokens: c.memoryTokens(u.Service)})
}

// delay returns how much the requests in flight at an engine delay another one, as a figure to
// compare with that of other engines of the service: a time if the engines state paces, otherwise
// the weight of the requests.
func (c *Chooser) delay(u *snipedirectory.Upstream) float64 {
	if c.Balancer.Paced(u.Service) {
		return c.Balancer.ExpectedDelay(u).Seconds()
	}
	return c.Balancer.Load(u)
}

// setStated records the load that an upstream states in an answer.
func (g *Gateway) setStated(u *snipedirectory.Upstream, l *Load) {
	g.Balancer.SetStated(u.ID, snipebalance.StatedLoad(*l))
	if l.Pace > 0 {
		g.Balancer.NotePaced(u.Service)
	}
}

// countEvents counts events of a stream, and records the first one of the attempt.
func (c *call) countEvents(count int) {
	c.events += count
	if c.flight == nil {
		return // a peer counts the events of its attempt
	}
	g, q := c.gateway, &c.Request
	if c.flight.First() && q.PromptTokens >= minReportedPrompt && g.Balancer.Paced(c.service) {
		g.Chooser.markUseChanged(c.tried[len(c.tried)-1])
	}
}

// addExpectation adds to the log fields of a request what its last choice was based on.
func (c *call) addExpectation(fields snipelog.Fields) {
	if c.flight == nil || !c.gateway.Balancer.Paced(c.service) {
		return
	}
	e := c.flight.Expectation()
	fields["ExpectedMilliseconds"], fields["Pace"] = e.Time.Milliseconds(), roundHundredths(e.Pace)
	fields["PaceAgeMilliseconds"], fields["ReportAgeMilliseconds"] = e.PaceAge.Milliseconds(), e.ReportAge.Milliseconds()
}
