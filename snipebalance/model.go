package snipebalance

import "time"

const (
	// initialBase and initialRate are the assumed base time of a first event and the assumed number
	// of prompt tokens that an engine processes in a second, until requests are observed.
	initialBase = 10 * time.Millisecond
	initialRate = 45_000
	// initialRequestTime is the assumed time of a request until one has ended.
	initialRequestTime = 100 * time.Millisecond
	// initialOutput is the assumed number of output tokens until an answer has ended.
	initialOutput = 200
	// modelDecay is the fraction of the weight of earlier observations that remains after each one:
	// some fifty requests decide, which an instance serves in a few seconds.
	modelDecay = 0.98
	// initialWeight is the weight of the assumed times at the start, as a number of observations.
	// priorWeight is added for each observation: in time they weigh a fifth of one, which keeps the
	// model determined when all prompts have the same length.
	initialWeight = 10
	priorWeight   = 0.004
	// maxSurprise bounds an observation, as a multiple of the expectation and as a fraction of it,
	// so that single outliers move the model little.
	maxSurprise = 4
	// Bounds of the estimates.
	minBase, maxBase               = 0.0005, 1.0
	minTokenTime, maxTokenTime     = 1e-6, 1e-3
	minRequestTime, maxRequestTime = 0.001, 60.0
	maxOutput                      = 100_000
	// requestWeight is the weight of the latest request in the moving averages.
	requestWeight = 0.05
	// typicalTokens is the prompt length of the assumed observations.
	typicalTokens = 1000
)

// model is what is expected of one service's upstreams at the usual pace, in seconds. The time to the
// first event is taken as base*(1+occupancy) + tokens*tokenTime, where tokens are the prompt tokens
// to be processed until then: each step of an engine takes longer the more requests run. Both
// factors are fitted to the observed times by least squares.
type model struct {
	// statedAt is when an upstream of the service last stated a pace.
	statedAt time.Time

	base, tokenTime float64
	requestTime     float64
	output          float64
	// requestKnown and outputKnown are set once a request has ended.
	requestKnown, outputKnown bool
	// The sums of the normal equations, with x for 1+occupancy, y for tokens and t for the time.
	xx, xy, yy, xt, yt float64
}

func newModel() *model {
	m := &model{
		base: initialBase.Seconds(), tokenTime: 1.0 / initialRate,
		requestTime: initialRequestTime.Seconds(), output: initialOutput,
	}
	m.addPrior(initialWeight)
	return m
}

// addPrior adds the assumed times to the sums: one for a request without a prompt, and one for a
// prompt of typical length.
func (m *model) addPrior(weight float64) {
	base, perToken := initialBase.Seconds(), 1.0/initialRate
	m.add(1, 0, base, weight)
	m.add(1, typicalTokens, base+typicalTokens*perToken, weight)
}

func (m *model) add(x, y, t, weight float64) {
	m.xx += weight * x * x
	m.xy += weight * x * y
	m.yy += weight * y * y
	m.xt += weight * x * t
	m.yt += weight * y * t
}

// firstEvent returns the expected time to the first event, without a wait for a slot.
func (m *model) firstEvent(occupancy, tokens float64) float64 {
	return m.base*(1+occupancy) + tokens*m.tokenTime
}

// observeFirst records the time to a first event, converted to the usual pace.
//
// The tokens of other requests that are pending are known only from reports, which may be old. If
// they were taken as exact, the fit would attribute too little time to a token. Their expected time
// is therefore subtracted, and tokens are those of the observed request alone.
func (m *model) observeFirst(occupancy, tokens, pending, took float64) {
	expected := m.firstEvent(occupancy, tokens+pending)
	took = min(max(took, expected/maxSurprise), expected*maxSurprise)
	took = max(took-pending*m.tokenTime, 0)
	for _, sum := range []*float64{&m.xx, &m.xy, &m.yy, &m.xt, &m.yt} {
		*sum *= modelDecay
	}
	m.addPrior(priorWeight)
	m.add(1+occupancy, tokens, took, 1)
	determinant := m.xx*m.yy - m.xy*m.xy
	if determinant <= 0 {
		return
	}
	m.base = min(max((m.xt*m.yy-m.yt*m.xy)/determinant, minBase), maxBase)
	m.tokenTime = min(max((m.xx*m.yt-m.xy*m.xt)/determinant, minTokenTime), maxTokenTime)
}

// observeRequest records the time of a whole request, converted to the usual pace.
func (m *model) observeRequest(took float64) {
	m.requestTime = movingMean(m.requestTime, took, m.requestKnown)
	m.requestTime = min(max(m.requestTime, minRequestTime), maxRequestTime)
	m.requestKnown = true
}

// observeOutput records the number of output tokens of a whole answer.
func (m *model) observeOutput(tokens float64) {
	m.output = min(max(movingMean(m.output, tokens, m.outputKnown), 1), maxOutput)
	m.outputKnown = true
}

// movingMean returns the moving average after an observation, which maxSurprise bounds. The first
// observation replaces the assumption.
func movingMean(mean, observed float64, known bool) float64 {
	if !known {
		return observed
	}
	observed = min(max(observed, mean/maxSurprise), mean*maxSurprise)
	return mean + requestWeight*(observed-mean)
}

const (
	// paceLifetime is the age at which a stated pace has no influence any more. Paces change many
	// times a second.
	paceLifetime = time.Second
	// paceWeight is the weight of the latest request in the mean pace of an upstream.
	paceWeight = 0.1
	// maxStep bounds an observed pace, as a multiple and a fraction of the mean pace.
	maxStep = 2.0
	// minMean and maxMean bound the mean pace, so that a wrong model cannot exclude an upstream.
	minMean, maxMean = 0.25, 4.0
	// meanLifetime is the time without an observation after which the mean pace counts as usual, so
	// that an upstream that was slow receives requests again.
	meanLifetime = 10 * time.Second
)

// paceEstimate is what is known of the pace of one start of an upstream. The zero value stands for the usual pace.
type paceEstimate struct {
	// stated is the last stated pace; zero if there is none.
	stated   float64
	statedAt time.Time
	// mean is the moving average of the observed pace, zero before the first observation.
	mean       float64
	observedAt time.Time
}

// recordStated records a stated pace unless a newer one is known.
func (p *paceEstimate) recordStated(pace float64, at time.Time) {
	if pace > 0 && at.After(p.statedAt) {
		p.stated, p.statedAt = pace, at
	}
}

// observe records how long a request took as a multiple of the time expected at the usual pace.
func (p *paceEstimate) observe(ratio float64, now time.Time) {
	mean := p.faded(now)
	ratio = min(max(ratio, mean/maxStep), mean*maxStep)
	p.mean = min(max(mean+paceWeight*(ratio-mean), minMean), maxMean)
	p.observedAt = now
}

// faded returns the mean observed pace, which fades to 1.
func (p *paceEstimate) faded(now time.Time) float64 {
	age := now.Sub(p.observedAt)
	if p.mean == 0 || age >= meanLifetime {
		return 1
	}
	return 1 + (p.mean-1)*float64(meanLifetime-age)/float64(meanLifetime)
}

// expected returns the expected pace: the stated one, which fades to the mean.
func (p *paceEstimate) expected(now time.Time) float64 {
	mean, age := p.faded(now), now.Sub(p.statedAt)
	if p.stated == 0 || age >= paceLifetime {
		return mean
	}
	return mean + (p.stated-mean)*float64(paceLifetime-age)/float64(paceLifetime)
}
