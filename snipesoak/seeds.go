package snipesoak

import "slices"

// seedRange is what the seeds of a range have in common. The lists of faults have grown, and a seed that once
// revealed a defect must still draw the same faults.
type seedRange struct {
	// from is the first seed; the range ends where the next one begins.
	from uint64
	// faults and upstreamFaults are how many of the lists of these names are drawn from.
	faults, upstreamFaults int
	// startsWithLast is set if the last fault of the list comes first.
	startsWithLast bool
	// sharesAdmission is set for shared admission of the plain service.
	sharesAdmission bool
	// judgesRetries is set for the instances, callers and faults that judge the retries of failing upstreams:
	// spenderFaults are drawn three times as often.
	judgesRetries bool
	// unframed adds unframedFault.
	unframed bool
	// versions has engines run several software versions, streams last long enough to break off, and callers take
	// them up. It adds releaseFault, drawn three times as often.
	versions bool
	// brittle has upstreams with little room, and prompts. It adds brittleFaults, drawn twice as often.
	brittle bool
	// silent adds silenceFault, drawn silenceWeight times as often, and streams that last longer than a silence. One of the upstreams'
	// faults is a failure of a request that has run, by a status that promises the opposite.
	silent bool
	// outOfStep adds outOfStepFault, drawn outOfStepWeight times as often.
	outOfStep bool
	// grants has operators add keys, workspaces and routes and take them away. It adds copiesFault, drawn copiesWeight times as
	// often.
	grants bool
	// asksInStops adds askedStopFault, drawn askedStopWeight times as often, and a long catalog that is written again and again.
	asksInStops bool
}

// silenceWeight makes about a third of the faults silences, of which only some fall into a resumable stream.
const silenceWeight = 9

// outOfStepWeight makes about a third of the faults of these seeds ones of instances out of step.
const outOfStepWeight = 8

// copiesWeight makes a fifth of the faults of these seeds answers too many.
const copiesWeight = 4

// askedStopWeight makes two fifths of the faults of these seeds stops with requests on kept connections.
const askedStopWeight = 12

var seedRanges = []seedRange{
	{from: 0, faults: 12, upstreamFaults: 7},
	{from: 1000, faults: 14, upstreamFaults: 8},
	{from: 4000, faults: 17, upstreamFaults: 8},
	{from: 8000, faults: 18, upstreamFaults: 8, sharesAdmission: true},
	{from: 12000, faults: 19, upstreamFaults: 8, sharesAdmission: true, startsWithLast: true},
	{from: 16000, faults: 20, upstreamFaults: 8, judgesRetries: true, startsWithLast: true},
	{from: 20000, faults: 19, upstreamFaults: 8, unframed: true, startsWithLast: true},
	{from: 24000, faults: 19, upstreamFaults: 8, versions: true, startsWithLast: true},
	{from: 28000, faults: 18, upstreamFaults: 8, brittle: true},
	{from: 32000, faults: 18, upstreamFaults: 9, silent: true, startsWithLast: true},
	{from: 36000, faults: 14, upstreamFaults: 9, versions: true, outOfStep: true, startsWithLast: true},
	{from: 40000, faults: 18, upstreamFaults: 9, sharesAdmission: true, grants: true, startsWithLast: true},
	{from: 44000, faults: 18, upstreamFaults: 8, asksInStops: true, startsWithLast: true},
}

// rangeOf returns the range of a seed.
func rangeOf(seed uint64) *seedRange {
	n := len(seedRanges) - 1
	for seedRanges[n].from > seed {
		n--
	}
	return &seedRanges[n]
}

// drawnFaults returns the faults that the seed draws from.
func (s *Soak) drawnFaults() []fault {
	r := rangeOf(s.Seed)
	drawn := slices.Clone(faults[:r.faults])
	if r.judgesRetries {
		drawn = slices.Concat(spenderFaults, spenderFaults, spenderFaults, drawn)
	}
	if r.unframed {
		drawn = append(drawn, unframedFault)
	}
	if r.versions {
		drawn = append(drawn, releaseFault, releaseFault, releaseFault)
	}
	if r.silent {
		drawn = append(drawn, slices.Repeat([]fault{silenceFault}, silenceWeight)...)
	}
	if r.outOfStep {
		drawn = append(drawn, slices.Repeat([]fault{outOfStepFault}, outOfStepWeight)...)
	}
	if r.grants {
		drawn = append(drawn, slices.Repeat([]fault{copiesFault}, copiesWeight)...)
	}
	if r.asksInStops {
		drawn = append(drawn, slices.Repeat([]fault{askedStopFault}, askedStopWeight)...)
	}
	if r.brittle {
		drawn = slices.Concat(drawn, brittleFaults, brittleFaults)
	}
	return drawn
}
