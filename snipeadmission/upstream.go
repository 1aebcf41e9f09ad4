package snipeadmission

import (
	"math"
	"time"
)

const (
	// reportLifetime is how long a load report counts; its weight falls evenly to zero.
	reportLifetime = time.Second
	// meanWeight is the weight of the latest observation in moving averages. Service times vary, so that
	// a higher weight would follow single requests.
	meanWeight = 0.05
	// longestFade is the factor of the longest time with each observation.
	longestFade = 0.999
	// forgetAfter is the time without an observation after which the observed time of an upstream
	// moves towards the mean of all, by half in each further forgetHalf. Otherwise an upstream that
	// was slow once would get no request that shows that it no longer is.
	forgetAfter, forgetHalf = 2 * time.Second, time.Second
	// initialTime is the assumed time of a request until one has been observed.
	initialTime = 50 * time.Millisecond
	// excessDivisor sets the least number of permits beyond the slots of an upstream: one for each
	// excessDivisor slots, at least one (see adapt). An upstream that is full is paused until this
	// part of its queue is served.
	excessDivisor = 8
	// excessStep is how much one load report changes the permits beyond the slots. Single reports say
	// little, since requests are in transit.
	excessStep = 0.125
	// othersSamples is the number of load reports that count in the average of what runs without a
	// permit.
	othersSamples = 16
	// minPause and maxPause bound the time for which an upstream is paused; firstPause is the time
	// after the first failure, which doubles with each further one.
	minPause, firstPause, maxPause = 10 * time.Millisecond, 250 * time.Millisecond, 4 * time.Second
	// maxSlots, minPace and maxPace bound what a load report may state; maxTook bounds the time of a
	// request that counts as an observation.
	maxSlots         = 1 << 16
	minPace, maxPace = 0.01, 100
	maxTook          = 10 * time.Minute
)

// average is a moving average of a value and of its distance from the average.
type average struct {
	mean, deviation float64
	count           int
}

// observe adds a value. The first values weigh more, so that the average does not depend on the first alone.
func (a *average) observe(v float64) {
	a.count++
	w := max(meanWeight, 1/float64(a.count))
	distance := math.Abs(v - a.mean)
	if a.count == 1 {
		distance = v / 2
	}
	a.deviation += w * (distance - a.deviation)
	a.mean += w * (v - a.mean)
}

// upstream is what a Coordinator or Pacer knows about one upstream.
type upstream struct {
	id     string
	listed int // slots that Upstreams states
	slots  int // the slots that were stated last
	gone   bool
	// out is the number of permits out.
	out int
	// took is the time of a request in seconds at the usual pace, and observedAt the time of the
	// latest observation.
	took       average
	observedAt time.Time
	// longest is the longest time of a request at the usual pace in seconds, which fades with each observation.
	longest float64
	// excess is the number of permits beyond the slots, of which the whole part counts (see adapt).
	excess float64
	// speed is the usual number of requests a second that a slot serves, at speedAt.
	speed               float64
	speedAt, knownSince time.Time
	// pace is the pace that was stated last, at reportedAt; paces is the average of stated paces.
	pace       float64
	paces      average
	reportedAt time.Time
	// others is the moving average of the requests beyond the permits out that load reports show;
	// negative if they show fewer.
	others float64
	// pausedUntil is the end of the pause after a refusal or after failures in a row: until then, no
	// request is sent to the upstream. As long as there are failures, one request at a time is.
	pausedUntil time.Time
	failures    int
	// servedAt is when the coordinator last learned of a request that was served there.
	servedAt time.Time
	// isStrict is set while the upstream is lent strictly, growth is how fast its bound grows then, and strict is
	// what is known for it.
	isStrict bool
	growth   time.Duration
	strict   strictness
	// closed is set while the coordinator must not lend strictly but the places that are known.
	closed bool
}

// setSlots takes over the slots that Upstreams states, if they have changed.
func (u *upstream) setSlots(listed int) {
	if listed == u.listed && u.slots > 0 {
		return
	}
	u.listed, u.slots = listed, min(max(listed, 1), maxSlots)
}

// valid reports whether a load report makes sense.
func (l *Load) valid() bool {
	in := func(n, low int) bool { return n >= low && n <= maxSlots }
	return in(l.Running, 0) && in(l.Waiting, 0) && in(l.Slots, 0) && l.Age >= 0 &&
		(l.Pace == 0 || l.Pace >= minPace && l.Pace <= maxPace)
}

// report takes over a valid load report, and returns false if it is older than the last one.
func (u *upstream) report(l Load, now time.Time) bool {
	at := now.Add(-l.Age)
	if l.Age >= reportLifetime || at.Before(u.reportedAt) {
		return false
	}
	// Reports and releases overtake each other by a few requests, so that a single report says little.
	// Differences below zero count too: otherwise this noise would look like requests of others.
	u.others *= u.freshness(now)
	u.others += (float64(l.Running+l.Waiting-u.out) - u.others) / othersSamples
	u.reportedAt = at
	if l.Slots > 0 {
		u.slots = l.Slots
	}
	if l.Pace > 0 {
		u.pace = l.Pace
		u.paces.observe(l.Pace)
	}
	return true
}

// reportAge returns the age of the last load report, or -1 if there is none.
func (u *upstream) reportAge(now time.Time) time.Duration {
	if u.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(u.reportedAt)
}

// freshness returns the weight of the last load report, from 1 to 0.
func (u *upstream) freshness(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(u.reportedAt))/float64(reportLifetime))
}

// othersNow returns the number of requests without a permit that are expected there. A difference of
// less than one is taken for noise.
func (u *upstream) othersNow(now time.Time) float64 {
	return max(0, u.others*u.freshness(now)-1)
}

// paceNow returns the expected pace: the one stated last, which fades to the mean.
func (u *upstream) paceNow(now time.Time) float64 {
	if u.paces.count == 0 {
		return 1
	}
	return u.paces.mean + (u.pace-u.paces.mean)*u.freshness(now)
}

// observe records that a request took so long, which was sent when running requests had permits for
// the upstream. The time that it waited for a slot there and the pace are taken out. A request that
// was cut off shows only that it takes at least so long.
func (u *upstream) observe(took time.Duration, running int, cutOff bool, now time.Time) {
	if took <= 0 || took > maxTook {
		return
	}
	queueing := 1 + max(0, float64(running-u.slots))/float64(u.slots)
	v := took.Seconds() / queueing / u.paceNow(now)
	if cutOff && v < u.took.mean {
		return
	}
	u.took.observe(v)
	u.longest = max(v, u.longest*longestFade)
	u.observedAt = now
}

// pauseAfterFailure pauses the upstream for a time that doubles with each failure in a row, and
// returns that time. It returns 0 for the failure of a request that was sent before the pause.
func (u *upstream) pauseAfterFailure(now time.Time) time.Duration {
	if u.failures > 0 && now.Before(u.pausedUntil) {
		return 0
	}
	pause := min(u.firstPause()<<min(u.failures, 4), maxPause)
	u.failures++
	u.pausedUntil = later(u.pausedUntil, now.Add(pause))
	return pause
}

// soundSince reports whether a request was served so late that the failure of another one does not show that the
// upstream is broken.
func (u *upstream) soundSince(r Result, now time.Time) bool {
	if u.isStrict && r.Outcome == OutcomeSuspect {
		return u.servedAt.After(now.Add(-r.Took))
	}
	return now.Sub(u.servedAt) < u.firstPause()
}

// firstPause returns the pause after a first failure.
func (u *upstream) firstPause() time.Duration {
	if u.isStrict {
		return strictPause
	}
	return firstPause
}

// pauseAfterRefusal pauses the upstream until its queue has become shorter: for the time that it
// named, or else until it has served an eighth of what waits there. Afterwards fewer permits are out.
func (u *upstream) pauseAfterRefusal(r Result, service time.Duration, now time.Time) time.Duration {
	if u.isStrict {
		return u.pauseAfterStrictRefusal(r, service, now)
	}
	pause := r.RetryAfter
	if pause <= 0 {
		pause = service
		if r.Load != nil && r.Load.valid() {
			pause = time.Duration(float64(service) * float64(r.Load.Waiting) / float64(u.slots) / excessDivisor)
		}
	}
	pause = min(max(pause, minPause), maxPause)
	u.excess /= 2
	u.pausedUntil = later(u.pausedUntil, now.Add(pause))
	return pause
}

// lasting returns the number of permits that may be out, as far as that is expected to last: requests that run
// without a permit of this coordinator at an upstream that is lent strictly end, and none follows.
func (u *upstream) lasting(now time.Time) float64 {
	if limit := u.limit(now); limit > 0 || !u.isStrict || u.gone || now.Before(u.pausedUntil) {
		return limit
	}
	return max(1, float64(u.strict.places(u.slots, u.growth, now)))
}

// limit returns the number of permits that may be out.
func (u *upstream) limit(now time.Time) float64 {
	switch {
	case u.gone || now.Before(u.pausedUntil):
		return 0
	case u.failures > 0 && !u.isStrict:
		return 1
	case u.failures > 0:
		return min(1, u.strictLimit(now))
	case u.isStrict:
		return u.strictLimit(now)
	}
	return max(1, float64(u.slots+u.excessNow())-u.othersNow(now))
}

// leastExcess returns the least number of permits beyond the slots.
func (u *upstream) leastExcess() float64 { return max(1, float64(u.slots/excessDivisor)) }

// excessNow returns the number of permits beyond the slots. They keep a short queue at the upstream:
// from the end of a request until its release is known here and the next request has arrived there, its
// slot would be idle otherwise.
func (u *upstream) excessNow() int { return int(max(u.excess, u.leastExcess())) }

// adapt changes the permits beyond the slots after a load report. While requests wait here, there are
// more as long as none waits at the upstream, and fewer when as many wait there as the least excess. The
// number of running requests does not tell of free slots: it may include the one that has just ended.
func (u *upstream) adapt(l Load, waiting int) {
	least := u.leastExcess()
	u.excess = max(u.excess, least)
	switch {
	case float64(l.Waiting) >= least:
		u.excess -= excessStep
	case waiting > 0 && l.Waiting == 0:
		u.excess += excessStep
	}
	u.excess = min(max(u.excess, least), max(least, float64(u.slots)))
}

// load returns the requests that are expected to run or wait there.
func (u *upstream) load(now time.Time) float64 { return float64(u.out) + u.othersNow(now) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
